#pragma once

#include <base/time.hpp>
#include <model/endpoint.hpp>
#include <stand_ins/http_host.hpp>

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace berylhill::stand_ins
{

struct list_options
{
    /// How old the list is that callers get.
    std::int64_t lag_ms{500};
    /// An instance that has not said that it lives for so long is off the list.
    std::int64_t expire_ms{5'000};
};

/// The platform's lagging list. Faults: `freeze`, `thaw`. Thread-safe.
class list_stand_in
{
public:
    list_stand_in(list_options options, history& seen);
    ~list_stand_in();
    list_stand_in(list_stand_in const&) = delete;
    list_stand_in& operator=(list_stand_in const&) = delete;

    int start(int port)
    {
        return m_host.start(port);
    }

    void put(model::endpoint const& it);
    bool apply(fault const& it);

private:
    struct entry
    {
        model::endpoint value;
        base::instant seen_at;
        bool leaving{false};
    };

    struct snapshot
    {
        base::instant at;
        std::string body;
    };

    void add_routes();
    void run();
    std::string render();
    std::string lagged(base::instant now) const;

    list_options m_options;
    history& m_seen;
    base::system_clock m_clock;
    mutable std::mutex m_mutex;
    std::condition_variable m_stop;
    std::map<std::string, entry> m_entries;
    std::deque<snapshot> m_snapshots;
    bool m_frozen{false};
    bool m_stopping{false};
    std::thread m_thread;
    // The last member: its threads use all of the above.
    http_host m_host;
};

} // namespace berylhill::stand_ins
