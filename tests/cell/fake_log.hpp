#pragma once

#include <cell/keyed_log.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace berylhill::cell_test
{

/// What the fake does with the next append.
enum class fate : std::uint8_t
{
    store,
    /// Stores it and says nothing.
    store_silently,
    /// Says nothing; `deliver_late` stores it if its offset still fits.
    delay,
    /// Loses it, and says nothing until the caller's timeout.
    silent,
    /// Takes `slow_time` for it, one append at a time, and then answers; the
    /// caller hears nothing from its own timeout on.
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
        auto const next = fates.empty() ? fate::store : fates.front();
        if (!fates.empty())
        {
            fates.pop_front();
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
            out.end = cell::append_end::refused;
        }
        else if (next == fate::delay)
        {
            m_late.emplace_back(at, records);
            out.end = cell::append_end::unanswered;
        }
        else if (at != log.size())
        {
            out.end = cell::append_end::conflict;
            out.log_end = log.size();
        }
        else
        {
            put(records);
            out.end = next == fate::store ? cell::append_end::stored
                                          : cell::append_end::unanswered;
        }
        boost::asio::post(m_loop, [handler = std::move(handler), out]
                          { handler(out); });
    }

    void read(cell::read_question const& it,
              cell::read_handler handler) override
    {
        ++reads;
        auto const from = it.from;
        cell::read_result out;
        out.end = from < first ? cell::read_end::trimmed : cell::read_end::read;
        out.log_end = log.size();
        std::size_t bytes = 0;
        for (auto n = from; n < log.size() && from >= first; ++n)
        {
            bytes += log[n].key.size() + log[n].value.size();
            if (bytes > it.most_bytes && !out.entries.empty())
            {
                break;
            }
            largest_read = std::max(largest_read, bytes);
            out.entries.push_back({n, log[n].key, log[n].value});
        }
        boost::asio::post(m_loop, [handler = std::move(handler),
                                   out = std::move(out)] { handler(out); });
    }

    void newest(std::string const& after,
                base::duration timeout,
                cell::newest_handler handler) override
    {
        std::map<std::string, std::uint64_t> last;
        for (std::uint64_t n = 0; n < log.size(); ++n)
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
        auto const takes = time_on_link(out);
        if (takes > timeout)
        {
            ++pages_lost;
            out = {};
        }
        auto const end = std::make_shared<boost::asio::steady_timer>(
            m_loop, std::min(takes, timeout));
        end->async_wait(
            [this, end, handler = std::move(handler),
             out = std::move(out)](auto)
            {
                // The log goes on between the pages.
                put(std::exchange(between_pages, {}));
                handler(out);
            });
    }

    void put(std::vector<scheduler::record> const& records)
    {
        log.insert(log.end(), records.begin(), records.end());
    }

    /// Carries out the appends that were delayed, where they still fit.
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

    std::vector<scheduler::record> log;
    std::uint64_t first{0};
    std::size_t page{500};
    std::vector<scheduler::record> between_pages;
    std::deque<fate> fates;
    std::size_t appends{0};
    /// The most that one read brought, bytes of keys and values.
    std::size_t largest_read{0};
    std::size_t reads{0};

    base::duration slow_time{std::chrono::milliseconds{240}};

    /// What the link of the reading machine carries, bytes a second; 0: any
    /// amount at once.
    std::size_t link_bytes_per_s{0};
    /// Pages that did not come through before the caller gave them up.
    std::size_t pages_lost{0};

private:
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
                out.end = at == log.size() ? cell::append_end::stored
                                           : cell::append_end::conflict;
                if (out.end == cell::append_end::stored)
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
    time_on_link(cell::newest_result const& it) const
    {
        if (link_bytes_per_s == 0)
        {
            return base::duration{0};
        }
        std::size_t bytes = 0;
        for (auto const& entry : it.entries)
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
    /// What the appends under way take in all.
    base::duration m_queue{0};
    std::vector<std::pair<std::uint64_t, std::vector<scheduler::record>>>
        m_late;
};

} // namespace berylhill::cell_test
