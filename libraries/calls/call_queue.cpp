#include <calls/call_queue.hpp>

#include <algorithm>
#include <cassert>

namespace berylhill::calls
{

void call_queue::push(call it)
{
    assert(it.weight > 0);
    auto const [found, added] = m_contracts.try_emplace(it.contract);
    auto& queue = found->second;
    if (added)
    {
        queue.weight = it.weight;
        // A contract that returns to the queue starts level with the others:
        // turns that it did not use while it had no calls are not credited. The
        // turns it used shortly before do count; otherwise a contract with one
        // call at a time would always be served first and contracts with many
        // waiting calls would starve.
        auto const left = m_idle_starts.find(it.contract);
        queue.start = left == m_idle_starts.end()
                          ? m_virtual_time
                          : std::max(m_virtual_time, left->second);
        m_total_weight += queue.weight;
        m_order.emplace(queue.start, it.contract);
    }
    m_deadlines.insert(it.deadline);
    ++m_size;
    auto& calls =
        it.urgency == model::urgency::urgent ? queue.urgent : queue.normal;
    calls.push_back(std::move(it));
}

std::optional<call> call_queue::pop()
{
    if (m_order.empty())
    {
        return std::nullopt;
    }
    auto turn = m_order.extract(m_order.begin());
    auto& queue = m_contracts.at(turn.value().second);
    auto& calls = queue.urgent.empty() ? queue.normal : queue.urgent;
    auto it = std::move(calls.front());
    calls.pop_front();
    m_virtual_time = std::max(m_virtual_time, queue.start);
    queue.start += 1 / queue.weight;
    turn.value().first = queue.start;
    m_order.insert(std::move(turn));
    return account_removal(std::move(it));
}

std::optional<call> call_queue::shed()
{
    auto const most = std::max_element(
        m_contracts.begin(), m_contracts.end(),
        [](auto const& a, auto const& b)
        {
            return static_cast<double>(a.second.size()) / a.second.weight <
                   static_cast<double>(b.second.size()) / b.second.weight;
        });
    if (most == m_contracts.end())
    {
        return std::nullopt;
    }
    auto& queue = most->second;
    auto& calls = queue.normal.empty() ? queue.urgent : queue.normal;
    auto it = std::move(calls.back());
    calls.pop_back();
    return account_removal(std::move(it));
}

std::optional<call> call_queue::remove(std::string const& request_id)
{
    for (auto& [name, queue] : m_contracts)
    {
        for (auto* calls : {&queue.urgent, &queue.normal})
        {
            auto const found = std::find_if(
                calls->begin(), calls->end(),
                [&](call const& it) { return it.request_id == request_id; });
            if (found != calls->end())
            {
                auto it = std::move(*found);
                calls->erase(found);
                return account_removal(std::move(it));
            }
        }
    }
    return std::nullopt;
}

std::vector<call> call_queue::take_expiring(base::instant least)
{
    std::vector<call> due;
    if (m_deadlines.empty() || *m_deadlines.begin() >= least)
    {
        return due;
    }
    for (auto& it : m_contracts)
    {
        for (auto* calls : {&it.second.urgent, &it.second.normal})
        {
            auto const kept = std::stable_partition(
                calls->begin(), calls->end(),
                [&](call const& waiting) { return waiting.deadline >= least; });
            std::move(kept, calls->end(), std::back_inserter(due));
            calls->erase(kept, calls->end());
        }
    }
    for (auto& it : due)
    {
        it = account_removal(std::move(it));
    }
    return due;
}

double call_queue::calls_before(call const& it) const
{
    auto const all = static_cast<double>(m_size);
    auto const found = m_contracts.find(it.contract);
    if (found == m_contracts.end())
    {
        return std::min(all, (m_total_weight + it.weight) / it.weight - 1);
    }
    auto const& queue = found->second;
    auto const own = it.urgency == model::urgency::urgent ? queue.urgent.size()
                                                          : queue.size();
    auto const turns =
        static_cast<double>(own + 1) * m_total_weight / queue.weight - 1;
    return std::min(all, turns);
}

std::optional<base::instant> call_queue::earliest_deadline() const
{
    if (m_deadlines.empty())
    {
        return std::nullopt;
    }
    return *m_deadlines.begin();
}

void call_queue::forget_if_empty(std::string const& contract)
{
    auto const found = m_contracts.find(contract);
    if (found == m_contracts.end() || found->second.size() > 0)
    {
        return;
    }
    m_order.erase({found->second.start, contract});
    m_total_weight -= found->second.weight;
    m_idle_starts[contract] = found->second.start;
    m_contracts.erase(found);
    if (m_contracts.empty())
    {
        m_idle_starts.clear();
        m_virtual_time = 0;
        m_total_weight = 0;
        return;
    }
    std::erase_if(m_idle_starts,
                  [&](auto const& it) { return it.second <= m_virtual_time; });
}

call call_queue::account_removal(call it)
{
    m_deadlines.erase(m_deadlines.find(it.deadline));
    --m_size;
    forget_if_empty(it.contract);
    return it;
}

} // namespace berylhill::calls
