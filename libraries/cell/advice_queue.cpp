#include <cell/advice_queue.hpp>

#include <scheduler/advice_budget.hpp>

#include <algorithm>

namespace berylhill::cell
{

namespace
{

/// How long a process is avoided after a request without an answer.
constexpr base::duration avoidance_time = std::chrono::milliseconds{1'500};

/// Short requests in flight from one process, so that the service has the next
/// one when it finishes the first. A long request is sent alone.
constexpr std::size_t max_short_requests = 2;

/// One process in this many is reserved for short requests, at least two: the
/// urgent work of the largest cell keeps 2.5 of 37 processes busy.
constexpr std::size_t senders_per_reserved = 5;
constexpr std::size_t min_reserved = 2;

/// With fewer processes, none is reserved.
constexpr std::size_t min_senders_to_reserve = 5;

} // namespace

void advice_queue::add(std::uint64_t request,
                       scheduler::advice_order const& order)
{
    m_waiting.emplace(turn{order.expected > scheduler::short_advice_request,
                           order.late, order.needed_by, request},
                      order.expected);
}

bool advice_queue::is_free(machine const& it,
                           bool takes_long,
                           base::instant now) const
{
    return now >= it.avoid_until &&
           it.requests_in_flight < (takes_long ? 1 : max_short_requests);
}

/// This process comes first because it needs no call to another process.
void advice_queue::set_senders(std::vector<peer> const& others)
{
    if (!m_candidates.empty() && others == m_others)
    {
        return;
    }
    m_others = others;
    m_candidates.clear();
    m_candidates.push_back(&*m_senders.try_emplace({}).first);
    for (auto const& it : others)
    {
        m_candidates.push_back(&*m_senders.try_emplace(it.address).first);
    }
}

/// Returns the free process with the fewest requests in flight, the first of
/// equals; null if none is free.
advice_queue::sender_entry* advice_queue::least_busy(std::size_t from,
                                                     bool takes_long,
                                                     base::instant now) const
{
    sender_entry* best = nullptr;
    auto least = max_short_requests;
    for (auto n = from; n < m_candidates.size(); ++n)
    {
        auto const& it = m_candidates[n]->second;
        if (is_free(it, takes_long, now) && it.requests_in_flight < least)
        {
            best = m_candidates[n];
            least = it.requests_in_flight;
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
    set_senders(others);
    auto reserved = std::size_t{0};
    if (m_candidates.size() >= min_senders_to_reserve)
    {
        reserved =
            std::max(min_reserved, m_candidates.size() / senders_per_reserved);
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
        auto* to = least_busy(takes_long ? reserved : 0, takes_long, now);
        if (to == nullptr && m_requests_in_flight == 0)
        {
            // All processes are being avoided: trying one is better than
            // waiting.
            to = m_candidates.front();
        }
        if (to != nullptr)
        {
            assignment const out{at->first.request, to->first};
            m_waiting.erase(at);
            ++to->second.requests_in_flight;
            ++m_requests_in_flight;
            return out;
        }
    }
    return std::nullopt;
}

void advice_queue::ended(network::socket_address const& by,
                         bool answered,
                         base::instant now)
{
    auto& it = m_senders[by];
    --it.requests_in_flight;
    --m_requests_in_flight;
    if (!answered)
    {
        it.avoid_until = now + avoidance_time;
    }
}

std::vector<std::uint64_t> advice_queue::take_waiting()
{
    std::vector<std::uint64_t> out;
    out.reserve(m_waiting.size());
    for (auto const& [at, expected] : m_waiting)
    {
        out.push_back(at.request);
    }
    m_waiting.clear();
    return out;
}

} // namespace berylhill::cell
