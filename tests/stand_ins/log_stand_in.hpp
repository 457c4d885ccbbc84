#pragma once

#include <base/time.hpp>
#include <stand_ins/http_host.hpp>

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <random>
#include <string>

namespace berylhill::stand_ins
{

struct log_options
{
    std::int32_t appends_per_s{300};
    /// The oldest go when there are more in one stream.
    std::size_t retain_records{1'000'000};
    double retain_s{3'600};
    std::uint64_t seed{1};
};

/// The platform's append-only log. Faults: `down`, `up`, `slow` (milliseconds),
/// `lose_before` and `lose_after` (percent of appends whose answer breaks off,
/// before or after the effect). Thread-safe.
class log_stand_in
{
public:
    log_stand_in(log_options options, history& seen);
    ~log_stand_in();
    log_stand_in(log_stand_in const&) = delete;
    log_stand_in& operator=(log_stand_in const&) = delete;

    int start(int port)
    {
        return m_host.start(port);
    }

    bool apply(fault const& it);

private:
    struct record
    {
        base::instant at;
        std::string body;
    };

    struct stream
    {
        std::int64_t first{0};
        std::deque<record> records;

        [[nodiscard]] std::int64_t next() const
        {
            return first + static_cast<std::int64_t>(records.size());
        }
    };

    void append(httplib::Request const& request, httplib::Response& response);
    void read(httplib::Request const& request, httplib::Response& response);
    bool take_token();
    void retain(stream& it);
    bool strikes(double percent);

    log_options m_options;
    history& m_seen;
    base::system_clock m_clock;
    std::mutex m_mutex;
    std::condition_variable m_appended;
    std::map<std::string, stream> m_streams;
    std::mt19937_64 m_random;
    double m_tokens;
    base::instant m_refilled;
    bool m_down{false};
    bool m_stopping{false};
    double m_slow_ms{0};
    double m_lose_before{0};
    double m_lose_after{0};
    // The last member: its threads use all of the above.
    http_host m_host;
};

} // namespace berylhill::stand_ins
