#include <cell/advice_desk.hpp>

#include <algorithm>
#include <utility>

namespace berylhill::cell
{

namespace
{

/// Added to the time that an answer should take before it is given up.
constexpr base::duration answer_slack = std::chrono::milliseconds{300};

/// A machine that gave no answer is not asked for so long.
constexpr base::duration avoid_for = std::chrono::milliseconds{1'500};

/// A question that takes longer than this counts as long. Those for urgent
/// work take some 13 ms, the others 140 to 900 ms.
constexpr base::duration short_question = std::chrono::milliseconds{50};

/// With fewer others all machines take all questions.
constexpr std::size_t least_to_reserve = 4;

network::socket_address const own_address{};

} // namespace

advice_desk::advice_desk(base::clock const& clock,
                         advice_link& own,
                         peer_client& peers,
                         peers_function others)
    : m_clock{clock}
    , m_own{own}
    , m_peers{peers}
    , m_others{std::move(others)}
{
}

/// Null stands for this process, which is preferred where it is as good.
peer const* advice_desk::choose(std::vector<peer> const& others,
                                base::duration expected,
                                base::instant now)
{
    auto const waits = [&](network::socket_address const& it)
    {
        auto const& known = m_machines[it];
        return std::max({known.free_at, known.avoid_until, now});
    };
    // Long questions stay off this machine and one more: a short one behind
    // them would wait for the better part of a second.
    auto const reserved =
        expected > short_question && others.size() >= least_to_reserve;
    peer const* best = reserved ? &others[1] : nullptr;
    auto best_at = waits(reserved ? others[1].address : own_address);
    for (auto const& it : others)
    {
        if (reserved && &it == &others.front())
        {
            continue;
        }
        auto const at = waits(it.address);
        if (at < best_at)
        {
            best = &it;
            best_at = at;
        }
    }
    return best;
}

void advice_desk::ask(scheduler::advice_order const& it, handler done)
{
    auto const now = m_clock.now();
    auto const others = m_others();
    auto const* const by = choose(others, it.expected, now);
    auto const address = by == nullptr ? own_address : by->address;
    auto& known = m_machines[address];
    known.free_at = std::max(known.free_at, now) + it.expected;
    auto const timeout = (known.free_at - now) * 2 + answer_slack;
    auto answered =
        [this, address, done = std::move(done)](advice_result const& result)
    {
        auto const then = m_clock.now();
        if (!result.answered)
        {
            m_machines[address].avoid_until = then + avoid_for;
        }
        done(result);
    };
    if (by == nullptr)
    {
        m_own.ask(it.step, it.instances, timeout, std::move(answered));
        return;
    }
    m_peers.advise(address, it.step, it.instances, timeout,
                   std::move(answered));
}

} // namespace berylhill::cell
