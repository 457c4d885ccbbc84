#include <cell/advice_dispatcher.hpp>

#include <utility>

namespace berylhill::cell
{

namespace
{

/// Added to the expected response time before a request times out. One other
/// request may be ahead of it.
constexpr base::duration answer_slack = std::chrono::milliseconds{300};
constexpr int expected_factor = 2;

/// Lifetime of the cached list of processes. At hundreds of requests a second,
/// copying hundreds of names for each one is too expensive.
constexpr base::duration others_kept = std::chrono::milliseconds{50};

} // namespace

advice_dispatcher::advice_dispatcher(base::clock const& clock,
                                     advice_client& own,
                                     peer_client& peers,
                                     peers_function others)
    : m_clock{clock}
    , m_own{own}
    , m_peers{peers}
    , m_others{std::move(others)}
{
}

std::vector<peer> const& advice_dispatcher::others()
{
    auto const now = m_clock.now();
    if (now >= m_known_until)
    {
        m_known = m_others();
        m_known_until = now + others_kept;
    }
    return m_known;
}

std::size_t advice_dispatcher::sender_count()
{
    return others().size() + 1;
}

void advice_dispatcher::ask(scheduler::advice_order const& it, handler done)
{
    auto const number = ++m_last_number;
    m_queue.add(number, it);
    m_questions.emplace(number, question{it, std::move(done)});
    send_next();
}

std::size_t advice_dispatcher::drop_waiting()
{
    auto const dropped = m_queue.take_waiting();
    for (auto const number : dropped)
    {
        m_questions.erase(number);
    }
    return dropped.size();
}

void advice_dispatcher::send_next()
{
    if (m_queue.waiting() == 0)
    {
        return;
    }
    auto const now = m_clock.now();
    while (auto const it = m_queue.next(others(), now))
    {
        send(*it);
    }
}

void advice_dispatcher::send(advice_queue::assignment const& it)
{
    auto const& order = m_questions.at(it.request).order;
    auto const timeout = order.expected * expected_factor + answer_slack;
    auto done = [this, it](advice_result const& result)
    {
        answered(it, result);
    };
    if (it.sender == network::socket_address{})
    {
        m_own.ask(order.step, order.instances, timeout, std::move(done));
        return;
    }
    m_peers.advise(it.sender, order.step, order.instances, timeout,
                   std::move(done));
}

void advice_dispatcher::answered(advice_queue::assignment const& it,
                                 advice_result const& result)
{
    m_queue.ended(it.sender, result.answered, m_clock.now());
    auto const known = m_questions.extract(it.request);
    send_next();
    known.mapped().done(result);
}

} // namespace berylhill::cell
