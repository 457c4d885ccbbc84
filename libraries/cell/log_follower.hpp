#pragma once

#include <base/time.hpp>
#include <cell/keyed_log.hpp>
#include <cell/reliable_read.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace berylhill::cell
{

/// How a log is followed. A value.
struct follow_options
{
    /// How long a read waits at the store for a record.
    base::duration wait{std::chrono::milliseconds{1'000}};
    /// Between the end of a read and the next.
    base::duration pause{std::chrono::milliseconds{50}};
    /// Added to `wait` before a read is overdue.
    base::duration slack{std::chrono::milliseconds{400}};
    /// After a failed read.
    base::duration retry{std::chrono::milliseconds{150}};
    /// What one read brings at most, but for a single larger record: a
    /// backlog is worked off in parts, and others have their turns between.
    std::size_t most_bytes{std::size_t{128} * 1024};
};

/// Keeps up with the newest record of each key of a log: reads them all once,
/// then what is appended; begins anew when the store has dropped what it
/// needs. Lives on the event loop.
class log_follower
{
public:
    /// One change: the key and its new value, empty where it was dropped.
    using change_handler =
        std::function<void(std::string const& key, std::string const& value)>;
    /// Told after each successful read, when its changes are through.
    using caught_up_handler = std::function<void()>;
    /// Told when a read has reached the end of the log: since when, at the
    /// latest, the changes told were all that there were.
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

    /// Begins, or begins anew from the newest records.
    void start();

    /// Forgets that it was following; pending reads are ignored.
    void stop();

    /// Reads without waiting at the store, then calls `done` with whether the
    /// read succeeded; the usual reads go on afterwards.
    void catch_up(std::function<void(bool)> done);

    /// What comes before `offset` has become known by another way; nothing
    /// where it was read already. A read of it that is under way ends.
    void skip_to(std::uint64_t offset);

    /// Started, and not stopped since.
    [[nodiscard]] bool running() const noexcept
    {
        return m_running;
    }

    /// All records were read at least once since `start`.
    [[nodiscard]] bool ready() const noexcept
    {
        return m_ready;
    }

    /// The offset that follows the last record read.
    [[nodiscard]] std::uint64_t next_offset() const noexcept
    {
        return m_next;
    }

    /// Since when the store has answered every read.
    [[nodiscard]] base::instant answered_since() const noexcept
    {
        return m_answered_since;
    }

    /// When the store last answered.
    [[nodiscard]] base::instant last_read() const noexcept
    {
        return m_last_read;
    }

private:
    void read_newest(std::string const& after);
    void newest_read(newest_result it);
    void finish_newest();
    void read_tail(base::duration wait,
                   base::duration limit = max_response_delay);
    void tail_read(reliable_read_result it);
    void read_larger();
    void end_reached(base::instant as_of);
    void after(base::duration pause, std::function<void()> what);
    void failed(char const* what, unsigned status, std::uint64_t received);
    void succeeded();
    void apply(log_entry const& it);

    boost::asio::io_context& m_loop;
    base::clock const& m_clock;
    keyed_log& m_log;
    std::string m_name;
    follow_options m_pace;
    boost::asio::steady_timer m_timer;
    reliable_read m_read;
    change_handler m_on_change;
    caught_up_handler m_on_caught_up;
    end_reached_handler m_on_end_reached;
    std::function<void(bool)> m_catching_up;
    /// Bumped by `start`, `stop` and `catch_up`: answers to earlier reads are
    /// ignored.
    std::shared_ptr<std::uint64_t> m_generation{
        std::make_shared<std::uint64_t>(0)};
    std::uint64_t m_next{0};
    /// What the next read brings at most.
    std::size_t m_most_bytes;
    bool m_running{false};
    bool m_ready{false};
    /// Reads that have failed since the last that succeeded.
    std::uint64_t m_failures{0};
    base::instant m_asked_at{};
    base::instant m_last_read{};
    base::instant m_answered_since{};
    /// While all records are read: those seen so far, and where the log ended
    /// before.
    std::map<std::string, log_entry> m_pages;
    std::uint64_t m_pages_from{0};
    bool m_first_page{true};
    /// How long the next page is waited for.
    base::duration m_page_timeout;
    base::duration m_catch_up_limit;
    /// Keys told to the owner and not dropped since.
    std::set<std::string> m_known;
};

} // namespace berylhill::cell
