#include <cell/reliable_read.hpp>

#include <base/log.hpp>

#include <algorithm>
#include <bit>
#include <utility>

namespace berylhill::cell
{

namespace
{

/// An answer that makes no progress for this long is on a silent connection.
constexpr base::duration stall_timeout = std::chrono::seconds{1};

/// Limit of concurrent requests: each may return the same large record.
constexpr std::size_t max_concurrent_requests = 4;

/// After a slow answer the next one may take this much longer, in percent.
constexpr std::int64_t slack_factor_percent = 150;
constexpr base::duration max_slack = std::chrono::seconds{3};

} // namespace

reliable_read::reliable_read(boost::asio::io_context& loop,
                             base::clock const& clock,
                             keyed_log& log,
                             std::string name,
                             base::duration slack)
    : m_clock{clock}
    , m_log{log}
    , m_name{std::move(name)}
    , m_min_slack{slack}
    , m_slack{slack}
    , m_timer{loop}
{
}

reliable_read::~reliable_read()
{
    ++*m_generation;
}

void reliable_read::begin(reliable_read_request const& it, handler done)
{
    cancel();
    m_tries = 0;
    m_request = it;
    m_until = m_clock.now() + it.wait + it.limit;
    m_done = std::move(done);
    send(it.wait);
}

void reliable_read::cancel()
{
    ++*m_generation;
    m_timer.cancel();
    m_awaiting = 0;
    for (auto const& it : std::exchange(m_calls, {}))
    {
        if (auto const call = it.lock())
        {
            call->break_off();
        }
    }
}

void reliable_read::send(base::duration wait)
{
    auto const asked_at = m_clock.now();
    network::call_patience patience{m_until - asked_at, stall_timeout};
    patience.on_new_connection = m_tries > 0;
    ++m_tries;
    ++m_awaiting;
    m_calls.push_back(
        m_log.read({m_request.from, wait, m_request.max_bytes, patience},
                   [this, alive = m_generation, mine = *m_generation, asked_at,
                    wait](read_result it)
                   {
                       if (*alive == mine)
                       {
                           answered(std::move(it), asked_at, wait);
                       }
                   }));
    check_after(wait + m_slack * (1U << (m_tries - 1)));
}

void reliable_read::check_after(base::duration pause)
{
    m_timer.expires_after(pause);
    m_timer.async_wait(
        [this, alive = m_generation, mine = *m_generation](auto ec)
        {
            if (!ec && *alive == mine)
            {
                overdue();
            }
        });
}

bool reliable_read::answer_begun() const
{
    return std::ranges::any_of(m_calls,
                               [](auto const& it)
                               {
                                   auto const call = it.lock();
                                   return call && call->begun();
                               });
}

/// Sends another request unless an answer has begun: that answer would be sent
/// a second time over the same link.
void reliable_read::overdue()
{
    if (m_awaiting >= max_concurrent_requests || answer_begun() ||
        m_clock.now() + m_min_slack >= m_until)
    {
        check_after(m_slack);
        return;
    }
    if (std::has_single_bit(m_tries))
    {
        base::log(base::log_level::info, "read_overdue",
                  {{"log", m_name},
                   {"from", m_request.from},
                   {"tries", m_tries},
                   {"slack_s", base::seconds_of(m_slack)}});
    }
    send(base::duration{0});
}

void reliable_read::answered(read_result it,
                             base::instant asked_at,
                             base::duration wait)
{
    --m_awaiting;
    auto const nothing = it.outcome == read_outcome::failed ||
                         it.outcome == read_outcome::unanswered;
    if (nothing && m_awaiting > 0)
    {
        return;
    }
    if (!nothing)
    {
        update_slack(m_clock.now() - asked_at - wait);
    }
    auto const idle = it.outcome == read_outcome::read && it.entries.empty();
    finish(std::move(it), idle ? asked_at + wait : asked_at);
}

/// Adapts the slack to the response time, so that a constantly slow store does
/// not get several requests for each read.
void reliable_read::update_slack(base::duration took)
{
    auto const wanted = took * slack_factor_percent / 100;
    m_slack = std::clamp(std::max(wanted, m_slack / 2), m_min_slack,
                         std::max(m_min_slack, max_slack));
}

void reliable_read::finish(read_result it, base::instant as_of)
{
    auto const done = std::exchange(m_done, nullptr);
    cancel();
    done({std::move(it), as_of});
}

} // namespace berylhill::cell
