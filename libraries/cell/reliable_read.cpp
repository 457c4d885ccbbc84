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
constexpr base::duration longest_stall = std::chrono::seconds{1};

/// Limit of concurrent requests: each may return the same large record.
constexpr std::size_t most_questions = 4;

/// After a slow answer the next one may take this much longer, in percent.
constexpr std::int64_t slack_factor_percent = 150;
constexpr base::duration most_slack = std::chrono::seconds{3};

} // namespace

reliable_read::reliable_read(boost::asio::io_context& loop,
                             base::clock const& clock,
                             keyed_log& log,
                             std::string name,
                             base::duration slack)
    : m_clock{clock}
    , m_log{log}
    , m_name{std::move(name)}
    , m_least_slack{slack}
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
    m_goal = it;
    m_until = m_clock.now() + it.wait + it.limit;
    m_done = std::move(done);
    ask(it.wait);
}

void reliable_read::cancel()
{
    ++*m_generation;
    m_timer.cancel();
    m_awaiting = 0;
    for (auto const& it : std::exchange(m_questions, {}))
    {
        if (auto const call = it.lock())
        {
            call->break_off();
        }
    }
}

void reliable_read::ask(base::duration wait)
{
    auto const asked_at = m_clock.now();
    network::call_patience patience{m_until - asked_at, longest_stall};
    patience.on_new_connection = m_tries > 0;
    ++m_tries;
    ++m_awaiting;
    m_questions.push_back(
        m_log.read({m_goal.from, wait, m_goal.most_bytes, patience},
                   [this, alive = m_generation, mine = *m_generation, asked_at,
                    wait](read_result it)
                   {
                       if (*alive == mine)
                       {
                           answered(std::move(it), asked_at, wait);
                       }
                   }));
    look_after(wait + m_slack * (1U << (m_tries - 1)));
}

void reliable_read::look_after(base::duration pause)
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

bool reliable_read::answer_comes() const
{
    return std::ranges::any_of(m_questions,
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
    if (m_awaiting >= most_questions || answer_comes() ||
        m_clock.now() + m_least_slack >= m_until)
    {
        look_after(m_slack);
        return;
    }
    if (std::has_single_bit(m_tries))
    {
        base::log(base::log_level::info, "read_overdue",
                  {{"log", m_name},
                   {"from", m_goal.from},
                   {"tries", m_tries},
                   {"slack_s", base::seconds_of(m_slack)}});
    }
    ask(base::duration{0});
}

void reliable_read::answered(read_result it,
                             base::instant asked_at,
                             base::duration wait)
{
    --m_awaiting;
    auto const nothing =
        it.outcome == read_end::failed || it.outcome == read_end::unanswered;
    if (nothing && m_awaiting > 0)
    {
        return;
    }
    if (!nothing)
    {
        learn(m_clock.now() - asked_at - wait);
    }
    auto const idle = it.outcome == read_end::read && it.entries.empty();
    finish(std::move(it), idle ? asked_at + wait : asked_at);
}

/// Adapts the slack to the response time, so that a constantly slow store does
/// not get several requests for each read.
void reliable_read::learn(base::duration took)
{
    auto const wanted = took * slack_factor_percent / 100;
    m_slack = std::clamp(std::max(wanted, m_slack / 2), m_least_slack,
                         std::max(m_least_slack, most_slack));
}

void reliable_read::finish(read_result it, base::instant as_of)
{
    auto const done = std::exchange(m_done, nullptr);
    cancel();
    done({std::move(it), as_of});
}

} // namespace berylhill::cell
