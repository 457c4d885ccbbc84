#pragma once

#include <base/result.hpp>
#include <base/time.hpp>
#include <platform/log_service.hpp>
#include <stream/writer_state.hpp>

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <stop_token>
#include <string>

namespace berylhill::stream
{

/// Writes entries to one stream with group commit; the decisions are
/// `writer_state`'s. One thread calls `run` or `step`; every other method is
/// thread-safe.
class log_writer
{
public:
    using callback = std::function<void(base::outcome<position> const&)>;

    /// The log and the clock must outlive the writer.
    log_writer(platform::log_service& log,
               base::clock const& clock,
               std::string stream,
               writer_options options);

    /// Hands the entry over. `done` is called once, from here or from the
    /// writing thread, without a lock held: with the position when the entry
    /// is in the log; `unavailable` or `refused`, with when to come back, when
    /// it is not and never will be; `outcome_unknown` only if this process
    /// stops first or retention outran the reading back.
    void append(Json::Value const& entry, callback done);

    /// Writes until `stop`, then what already waits, for at most `drain`.
    /// Blocks.
    void run(std::stop_token const& stop,
             base::duration drain = std::chrono::seconds{1});

    /// One decision and its call to the log; waits for work at most `longest`.
    void step(base::duration longest);

    [[nodiscard]] bool down() const;
    [[nodiscard]] std::size_t pending() const;
    [[nodiscard]] std::uint64_t appends() const;

private:
    [[nodiscard]] std::optional<base::failure> enqueue(std::string text,
                                                       callback const& done);
    /// Speaks to the log without the lock.
    [[nodiscard]] std::vector<settled>
    ask_log(writer_step const& todo, std::unique_lock<std::mutex>& lock);
    void settle(std::vector<settled> const& ended,
                std::unique_lock<std::mutex>& lock);
    void wait_for_work(wait_until const& until,
                       base::duration longest,
                       std::unique_lock<std::mutex>& lock);

    platform::log_service& m_log;
    base::clock const& m_clock;
    std::string m_stream;
    mutable std::mutex m_mutex;
    std::condition_variable m_work;
    writer_state m_state;
    std::map<std::uint64_t, callback> m_callbacks;
    std::uint64_t m_last_ticket{0};
    bool m_stopping{false};
};

} // namespace berylhill::stream
