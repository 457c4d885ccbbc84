#include <cell/advice_queue.hpp>

#include <scheduler/advice_budget.hpp>

#include <algorithm>

namespace berylhill::cell
{

namespace
{

/// How long a machine is avoided after a request without an answer.
constexpr base::duration avoid_for = std::chrono::milliseconds{1'500};

/// Short requests in flight at one machine, so that the service has the next
/// one when it finishes the first. A long request is sent alone.
constexpr std::size_t most_short = 2;

/// One machine in this many is reserved for short requests, at least two: the
/// urgent work of the largest cell keeps 2.5 of 37 machines busy.
constexpr std::size_t kept_for_short = 5;
constexpr std::size_t least_kept = 2;

/// With fewer machines, none is reserved.
constexpr std::size_t least_to_keep = 5;

} // namespace

void advice_queue::add(std::uint64_t question,
                       scheduler::advice_order const& order)
{
    m_waiting.emplace(turn{order.expected > scheduler::short_advice_request,
                           order.late, order.needed_by, question},
                      order.expected);
}

bool advice_queue::is_free(machine const& it,
                           bool takes_long,
                           base::instant now) const
{
    return now >= it.avoid_until && it.asking < (takes_long ? 1 : most_short);
}

/// This machine comes first because it needs no call to another process.
void advice_queue::set_machines(std::vector<peer> const& others)
{
    if (!m_candidates.empty() && others == m_others)
    {
        return;
    }
    m_others = others;
    m_candidates.clear();
    m_candidates.push_back(&*m_machines.try_emplace({}).first);
    for (auto const& it : others)
    {
        m_candidates.push_back(&*m_machines.try_emplace(it.address).first);
    }
}

/// Returns the free machine with the fewest requests in flight, the first of
/// equals; null if none is free.
advice_queue::known_machine* advice_queue::least_busy(std::size_t from,
                                                      bool takes_long,
                                                      base::instant now) const
{
    known_machine* best = nullptr;
    auto least = most_short;
    for (auto n = from; n < m_candidates.size(); ++n)
    {
        auto const& it = m_candidates[n]->second;
        if (is_free(it, takes_long, now) && it.asking < least)
        {
            best = m_candidates[n];
            least = it.asking;
        }
    }
    return best;
}

std::optional<advice_queue::assignment>
advice_queue::next(std::vector<peer> const& others, base::instant now)
{
    if (m_waiting.empty())
    {
        return std::nullopt;
    }
    set_machines(others);
    auto kept = std::size_t{0};
    if (m_candidates.size() >= least_to_keep)
    {
        kept = std::max(least_kept, m_candidates.size() / kept_for_short);
    }
    auto const first_long = std::ranges::find_if(
        m_waiting, [](auto const& it) { return it.first.takes_long; });
    for (auto const at : {m_waiting.begin(), first_long})
    {
        if (at == m_waiting.end())
        {
            continue;
        }
        auto const takes_long = at->first.takes_long;
        auto* to = least_busy(takes_long ? kept : 0, takes_long, now);
        if (to == nullptr && m_asking == 0)
        {
            // All machines are being avoided: trying one is better than
            // waiting.
            to = m_candidates.front();
        }
        if (to != nullptr)
        {
            assignment const out{at->first.question, to->first};
            m_waiting.erase(at);
            ++to->second.asking;
            ++m_asking;
            return out;
        }
    }
    return std::nullopt;
}

void advice_queue::ended(network::socket_address const& by,
                         bool answered,
                         base::instant now)
{
    auto& it = m_machines[by];
    --it.asking;
    --m_asking;
    if (!answered)
    {
        it.avoid_until = now + avoid_for;
    }
}

} // namespace berylhill::cell
