#pragma once

#include <base/time.hpp>
#include <cell/keyed_log.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace berylhill::cell
{

/// Tracks the latency of appends, from which the timeouts before a retry
/// follow. Not thread-safe.
class store_latency
{
public:
    void measured(base::duration it);

    /// How long to wait for an answer before an append is sent again, after
    /// `tries` earlier attempts.
    [[nodiscard]] base::duration retry_timeout(std::uint32_t tries) const;

    /// How long an append may take until the store counts as blocked, when
    /// waiting and new work is refused. A merely slow store needs about the
    /// same time for each append, and a shorter limit would refuse nearly all
    /// work.
    [[nodiscard]] base::duration stuck_limit() const;

private:
    base::duration m_mean{std::chrono::milliseconds{20}};
};

enum class reliable_append_outcome : std::uint8_t
{
    stored,
    /// Another writer's record is at the offset.
    overtaken,
    /// Given up; it is unknown whether the records are stored.
    unknown,
    /// The store will never take the records, and none of them is stored.
    rejected,
    /// The same, but an earlier attempt had no answer. The records are not
    /// stored yet; they may be until another append is stored at the offset.
    rejected_in_doubt,
};

/// Appends records at one offset and retries until the outcome is certain. An
/// append without an answer is repeated at the same offset while answers to
/// earlier attempts are still accepted: the store accepts only one of them, and
/// a merely slow store answers the first. If the log has moved on, the record
/// at the offset shows whose append succeeded.
///
/// One append at a time. Lives on the event loop.
class reliable_append
{
public:
    using handler = std::function<void(reliable_append_outcome)>;

    reliable_append(boost::asio::io_context& loop,
                    base::clock const& clock,
                    keyed_log& log,
                    store_latency& latency);
    reliable_append(reliable_append const&) = delete;
    reliable_append& operator=(reliable_append const&) = delete;
    ~reliable_append();

    /// Starts an append. Precondition: none is in progress and `records` is not
    /// empty. `limit` is the time after which it is given up; 0: never.
    void begin(std::uint64_t at,
               std::vector<scheduler::record> records,
               base::duration limit,
               handler done);

    [[nodiscard]] bool busy() const noexcept
    {
        return m_busy;
    }

    /// The store has refused the current append more than once.
    [[nodiscard]] bool refused() const noexcept
    {
        return m_busy && m_refusals > 1;
    }

    /// At this time no other writer's record followed what this writer had
    /// stored, the last append that was stored included if it was by then.
    [[nodiscard]] base::instant confirmed_at() const noexcept
    {
        return m_confirmed_at;
    }

    /// Takes back an append that is certainly not stored: all attempts were
    /// refused and none is in flight. `done` is then never called. Returns
    /// false and changes nothing if the records may be stored.
    bool take_back();

private:
    /// Whether the append has exceeded its limit.
    [[nodiscard]] bool limit_exceeded() const;
    void send();
    void answered(append_result const& it, base::instant sent_at);
    void overdue();
    void repeat(base::instant sent_at);
    void rejected(append_result const& it);
    void read_back();
    void read_back_done(read_result const& it, base::instant sent_at);
    void nothing_found();
    [[nodiscard]] bool matches(std::vector<log_entry> const& found) const;
    void run_after(base::duration pause, std::function<void()> task);
    void finish(reliable_append_outcome it);

    base::clock const& m_clock;
    keyed_log& m_log;
    store_latency& m_latency;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<std::uint64_t> m_generation{
        std::make_shared<std::uint64_t>(0)};
    std::uint64_t m_at{0};
    std::vector<scheduler::record> m_records;
    base::duration m_limit{0};
    base::instant m_began{};
    base::instant m_confirmed_at{};
    std::uint32_t m_tries{0};
    std::uint32_t m_refusals{0};
    /// Reads of the records at the offset so far.
    std::uint32_t m_read_backs{0};
    /// An attempt had no answer: it may be stored, now or later.
    bool m_maybe_stored{false};
    /// Attempts whose answer may still come.
    std::uint32_t m_awaiting{0};
    /// The records at the offset are being read.
    bool m_reading_back{false};
    /// How many of them have been found to be those of the append.
    std::size_t m_found{0};
    /// The store has answered that it will never take the records.
    bool m_rejected{false};
    bool m_busy{false};
    handler m_done;
};

} // namespace berylhill::cell
