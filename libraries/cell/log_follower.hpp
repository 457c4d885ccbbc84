#pragma once

#include <base/time.hpp>
#include <cell/keyed_log.hpp>
#include <cell/reliable_read.hpp>
#include <cell/write_times.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace berylhill::cell
{

/// Timing and size limits of reads. A value.
struct follow_options
{
    /// How long a read waits at the store for a record (long poll).
    base::duration wait{std::chrono::milliseconds{1'000}};
    /// Pause between the end of a read and the next.
    base::duration pause{std::chrono::milliseconds{50}};
    /// Added to `wait` before a read is overdue.
    base::duration slack{std::chrono::milliseconds{400}};
    /// Pause after a failed read.
    base::duration retry{std::chrono::milliseconds{150}};
    /// Size limit of one read, except for a single larger record. A backlog is
    /// read in parts, so that other work on the event loop gets its turn.
    std::size_t max_bytes{std::size_t{128} * 1024};
};

/// Follows the newest record of each key of a log: reads all of them once and
/// then the appended records. Starts over if the store has deleted records that
/// it still needs. Lives on the event loop.
class log_follower
{
public:
    /// Called with a key and its new value; the value is empty if the key was
    /// deleted. The record was not written before `written_after`; empty if it
    /// may be of any age.
    using change_handler =
        std::function<void(std::string const& key,
                           std::string const& value,
                           std::optional<base::instant> written_after)>;
    /// Called after each successful read, after its changes.
    using caught_up_handler = std::function<void()>;
    /// Called when a read has reached the end of the log. The reported changes
    /// were complete at `as_of` or later.
    using end_reached_handler = std::function<void(base::instant as_of)>;

    log_follower(boost::asio::io_context& loop,
                 base::clock const& clock,
                 keyed_log& log,
                 std::string name,
                 follow_options pace);
    log_follower(log_follower const&) = delete;
    log_follower& operator=(log_follower const&) = delete;
    ~log_follower();

    void on_change(change_handler it)
    {
        m_on_change = std::move(it);
    }

    void on_caught_up(caught_up_handler it)
    {
        m_on_caught_up = std::move(it);
    }

    void on_end_reached(end_reached_handler it)
    {
        m_on_end_reached = std::move(it);
    }

    /// Starts, or restarts with the newest records.
    void start();

    /// Starts, or restarts, with the records from `offset` on; the newest ones
    /// before it are known from another source.
    void start_at(std::uint64_t offset);

    /// Stops following and forgets all keys; pending reads are ignored.
    void stop();

    /// Reads up to the end of the log without long polling, then calls `done`
    /// with whether that succeeded; regular reads continue afterwards.
    void catch_up(std::function<void(bool)> done);

    /// Skips the records before `offset`, which are known from another source.
    /// Cancels a read of them that is in flight. Does nothing if they were read
    /// already.
    void skip_to(std::uint64_t offset);

    /// Whether the follower has been started and not stopped since.
    [[nodiscard]] bool running() const noexcept
    {
        return m_running;
    }

    /// Whether all records were read at least once since `start`.
    [[nodiscard]] bool ready() const noexcept
    {
        return m_ready;
    }

    /// The offset after the last record read.
    [[nodiscard]] std::uint64_t next_offset() const noexcept
    {
        return m_next;
    }

    [[nodiscard]] write_times const& known_write_times() const noexcept
    {
        return m_write_times;
    }

    /// Sets what another process knew of the log. Precondition: nothing has
    /// been read.
    void assume_write_times(write_times it)
    {
        m_write_times = std::move(it);
    }

    /// When the last read or page of the newest records arrived.
    [[nodiscard]] base::instant last_progress() const noexcept
    {
        return m_last_progress;
    }

private:
    void read_newest(std::string const& after);
    void newest_read(std::string const& after, newest_result it);
    void finish_newest();
    void read_tail(base::duration wait,
                   base::duration limit = max_response_delay);
    void tail_read(reliable_read_result it);
    void read_larger();
    void end_reached(base::instant as_of);
    void run_after(base::duration pause, std::function<void()> task);
    void failed(char const* operation, unsigned status, std::uint64_t received);
    void succeeded();
    void apply(log_entry const& it);

    boost::asio::io_context& m_loop;
    base::clock const& m_clock;
    keyed_log& m_log;
    std::string m_name;
    follow_options m_options;
    boost::asio::steady_timer m_timer;
    reliable_read m_read;
    change_handler m_on_change;
    caught_up_handler m_on_caught_up;
    end_reached_handler m_on_end_reached;
    std::function<void(bool)> m_catching_up;
    /// Incremented by `start`, `stop` and `catch_up`: answers to earlier reads
    /// are ignored.
    std::shared_ptr<std::uint64_t> m_generation{
        std::make_shared<std::uint64_t>(0)};
    std::uint64_t m_next{0};
    /// Size limit of the next read.
    std::size_t m_max_bytes;
    bool m_running{false};
    bool m_ready{false};
    /// Consecutive failed reads.
    std::uint64_t m_failures{0};
    base::instant m_asked_at{};
    base::instant m_last_progress{};
    write_times m_write_times;
    /// While all records are read: those seen so far, and the end of the log
    /// when the first page was read.
    std::map<std::string, log_entry> m_pages;
    std::uint64_t m_pages_from{0};
    bool m_first_page{true};
    /// Timeout of the next page.
    base::duration m_page_timeout;
    base::duration m_catch_up_limit;
    /// Keys reported to the change handler and not deleted since.
    std::set<std::string> m_known;
};

} // namespace berylhill::cell
