#pragma once

#include <cell/append_limits.hpp>
#include <cell/keyed_log.hpp>
#include <cell/owner_lookup.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace berylhill::cell_test
{

/// What the fake does with the next append.
enum class fate : std::uint8_t
{
    store,
    /// Stores it and does not answer.
    store_silently,
    /// Does not answer; `deliver_late` stores it if its offset still fits.
    delay,
    /// Loses it and does not answer until the caller's timeout.
    silent,
    /// Takes `slow_time`, one append at a time, and then answers; the caller
    /// gets no answer after its own timeout.
    slow,
    refuse,
};

/// A keyed log in memory. Lives on the test's loop.
class fake_log final : public cell::keyed_log
{
public:
    explicit fake_log(boost::asio::io_context& loop)
        : m_loop{loop}
    {
    }

    void append(std::uint64_t at,
                std::vector<scheduler::record> const& records,
                base::duration timeout,
                cell::append_handler handler) override
    {
        ++appends;
        if (rejects(records))
        {
            ++rejected_appends;
            cell::append_result out;
            out.outcome = cell::append_outcome::rejected;
            out.http_status = 400;
            boost::asio::post(m_loop, [handler = std::move(handler), out]
                              { handler(out); });
            return;
        }
        auto const next =
            append_behaviors.empty() ? fate::store : append_behaviors.front();
        if (!append_behaviors.empty())
        {
            append_behaviors.pop_front();
        }
        if (next == fate::silent)
        {
            time_out(timeout, std::move(handler));
            return;
        }
        if (next == fate::slow)
        {
            append_slowly(at, records, timeout, std::move(handler));
            return;
        }
        cell::append_result out;
        if (next == fate::refuse)
        {
            out.outcome = cell::append_outcome::refused;
        }
        else if (next == fate::delay)
        {
            m_late.emplace_back(at, records);
            out.outcome = cell::append_outcome::unanswered;
        }
        else if (at != log.size())
        {
            out.outcome = cell::append_outcome::conflict;
            out.log_end = log.size();
        }
        else
        {
            put(records);
            out.outcome = next == fate::store
                              ? cell::append_outcome::stored
                              : cell::append_outcome::unanswered;
        }
        boost::asio::post(m_loop, [handler = std::move(handler), out]
                          { handler(out); });
    }

    network::call_handle read(cell::read_request const& it,
                              cell::read_handler handler) override
    {
        ++reads;
        auto const from = it.from;
        cell::read_result out;
        out.outcome = from < first ? cell::read_outcome::trimmed
                                   : cell::read_outcome::read;
        out.log_end = log.size();
        std::size_t bytes = 0;
        for (auto n = from; n < log.size() && from >= first; ++n)
        {
            bytes += log[n].key.size() + log[n].value.size();
            if (bytes > it.max_bytes && (strict_size || !out.entries.empty()))
            {
                break;
            }
            largest_read = std::max(largest_read, bytes);
            out.entries.push_back({n, log[n].key, log[n].value});
        }
        auto const call = std::make_shared<read_call>(m_loop);
        auto const silent =
            std::exchange(silent_reads, 0) > 0 || all_reads_silent;
        auto const takes = time_on_link(out.entries);
        call->answer(silent ? 2 * it.timeouts.begin : read_delay, takes,
                     it.timeouts.begin, std::move(out), std::move(handler));
        return call;
    }

    void read_newest(std::string const& after,
                     network::call_patience const& patience,
                     cell::newest_handler handler) override
    {
        ++pages;
        std::map<std::string, std::uint64_t> last;
        auto const shown = log.size() - std::min(hidden_records, log.size());
        for (std::uint64_t n = 0; n < shown; ++n)
        {
            last[log[n].key] = n;
        }
        cell::newest_result out;
        out.answered = true;
        out.log_end = log.size();
        for (auto const& [key, n] : last)
        {
            if (key <= after || log[n].value.empty())
            {
                continue;
            }
            if (out.entries.size() == page)
            {
                out.truncated = true;
                break;
            }
            out.entries.push_back({n, key, log[n].value});
        }
        auto const takes = page_delay + time_on_link(out.entries);
        // Owners are looked up by pages after all jobs.
        auto const of_jobs = after < cell::before_owner_key;
        job_pages += of_jobs ? 1 : 0;
        auto const lost =
            pages_to_lose.contains(pages) || (lose_job_pages && of_jobs);
        auto const in_time = !lost && (patience.stall.count() == 0
                                           ? takes <= patience.begin
                                           : page_delay <= patience.begin);
        if (!in_time)
        {
            ++pages_lost;
            out = {};
        }
        auto const end = std::make_shared<boost::asio::steady_timer>(
            m_loop, in_time ? takes : patience.begin);
        end->async_wait(
            [this, end, handler = std::move(handler),
             out = std::move(out)](auto)
            {
                // The log grows between the pages.
                put(std::exchange(between_pages, {}));
                handler(out);
            });
    }

    void put(std::vector<scheduler::record> const& records)
    {
        log.insert(log.end(), records.begin(), records.end());
    }

    /// Stores the delayed appends whose offset still fits.
    void deliver_late()
    {
        for (auto const& [at, records] : std::exchange(m_late, {}))
        {
            if (at == log.size())
            {
                put(records);
            }
        }
    }

    /// What the store takes; all else is rejected for good.
    cell::append_limits limits;
    /// Appends with a record that has this in its key are rejected for good;
    /// empty: none.
    std::string rejected_key;
    std::size_t rejected_appends{0};

    std::vector<scheduler::record> log;
    std::uint64_t first{0};
    std::size_t page{500};
    std::vector<scheduler::record> between_pages;
    std::deque<fate> append_behaviors;
    std::size_t appends{0};
    /// The largest read so far, in bytes of keys and values.
    std::size_t largest_read{0};
    std::size_t reads{0};
    /// No read is answered before the caller's timeout.
    bool all_reads_silent{false};

    base::duration slow_time{std::chrono::milliseconds{240}};

    /// Bandwidth of the reading machine's link in bytes a second; 0: unlimited.
    std::size_t link_bytes_per_s{0};
    /// Time until a page of the newest records begins to arrive.
    base::duration page_delay{0};
    /// Pages of the newest records that were requested.
    std::size_t pages{0};
    /// Those of them that begin with jobs.
    std::size_t job_pages{0};
    bool lose_job_pages{false};
    /// The newest records of the log that pages leave out, as if they had been
    /// read before these were written.
    std::size_t hidden_records{0};
    /// The numbers, from 1, of the pages that do not arrive.
    std::set<std::size_t> pages_to_lose;
    /// Pages that did not arrive before the caller's timeout.
    std::size_t pages_lost{0};

    /// Time until the answer to a read begins.
    base::duration read_delay{0};
    /// If 1, the next read is never answered.
    std::size_t silent_reads{0};
    /// A read returns no record that is larger than the requested size.
    bool strict_size{false};

private:
    /// A read whose answer is in transit.
    class read_call final : public network::call_under_way,
                            public std::enable_shared_from_this<read_call>
    {
    public:
        explicit read_call(boost::asio::io_context& loop)
            : m_timer{loop}
        {
        }

        [[nodiscard]] bool begun() const override
        {
            return m_begun;
        }

        void break_off() override
        {
            m_broken_off = true;
            m_timer.cancel();
        }

        void answer(base::duration delay,
                    base::duration takes,
                    base::duration limit,
                    cell::read_result it,
                    cell::read_handler handler)
        {
            auto const late = delay > limit;
            m_timer.expires_after(late ? limit : delay);
            m_timer.async_wait(
                [self = shared_from_this(), late, takes, it = std::move(it),
                 handler = std::move(handler)](auto) mutable
                {
                    if (late)
                    {
                        it = {};
                        it.outcome = cell::read_outcome::unanswered;
                    }
                    self->m_begun = true;
                    self->finish(late ? base::duration{0} : takes,
                                 std::move(it), std::move(handler));
                });
        }

    private:
        void finish(base::duration takes,
                    cell::read_result it,
                    cell::read_handler handler)
        {
            m_timer.expires_after(takes);
            m_timer.async_wait(
                [self = shared_from_this(), it = std::move(it),
                 handler = std::move(handler)](auto)
                {
                    if (!self->m_broken_off)
                    {
                        handler(it);
                    }
                });
        }

        boost::asio::steady_timer m_timer;
        bool m_begun{false};
        bool m_broken_off{false};
    };

    [[nodiscard]] bool
    rejects(std::vector<scheduler::record> const& records) const
    {
        std::size_t bytes = 0;
        for (auto const& it : records)
        {
            bytes += cell::size_in_call(it);
            auto const wrong_key =
                !rejected_key.empty() &&
                it.key.find(rejected_key) != std::string::npos;
            if (wrong_key || cell::stored_size(it) > limits.record_bytes)
            {
                return true;
            }
        }
        return bytes > limits.call_bytes;
    }

    void append_slowly(std::uint64_t at,
                       std::vector<scheduler::record> const& records,
                       base::duration timeout,
                       cell::append_handler handler)
    {
        m_queue += slow_time;
        auto const heard = m_queue <= timeout;
        auto const timer =
            std::make_shared<boost::asio::steady_timer>(m_loop, m_queue);
        timer->async_wait(
            [this, timer, at, records, heard, handler](auto)
            {
                m_queue -= slow_time;
                cell::append_result out;
                out.outcome = at == log.size() ? cell::append_outcome::stored
                                               : cell::append_outcome::conflict;
                if (out.outcome == cell::append_outcome::stored)
                {
                    put(records);
                }
                out.log_end = log.size();
                if (heard)
                {
                    handler(out);
                }
            });
        if (!heard)
        {
            time_out(timeout, std::move(handler));
        }
    }

    [[nodiscard]] base::duration
    time_on_link(std::vector<cell::log_entry> const& entries) const
    {
        if (link_bytes_per_s == 0)
        {
            return base::duration{0};
        }
        std::size_t bytes = 0;
        for (auto const& entry : entries)
        {
            bytes += entry.key.size() + entry.value.size();
        }
        constexpr std::int64_t us_per_s = 1'000'000;
        return base::duration{static_cast<std::int64_t>(bytes) * us_per_s /
                              static_cast<std::int64_t>(link_bytes_per_s)};
    }

    void time_out(base::duration timeout, cell::append_handler handler)
    {
        auto const end =
            std::make_shared<boost::asio::steady_timer>(m_loop, timeout);
        end->async_wait([end, handler = std::move(handler)](auto)
                        { handler({}); });
    }

    boost::asio::io_context& m_loop;
    /// Total time of the appends in progress.
    base::duration m_queue{0};
    std::vector<std::pair<std::uint64_t, std::vector<scheduler::record>>>
        m_late;
};

} // namespace berylhill::cell_test
