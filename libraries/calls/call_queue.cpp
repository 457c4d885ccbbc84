#include <calls/call_queue.hpp>

#include <algorithm>
#include <cassert>

namespace berylhill::calls
{

void call_queue::push(call it)
{
    assert(it.weight > 0);
    auto const [found, added] = m_lanes.try_emplace(it.contract);
    auto& lane = found->second;
    if (added)
    {
        lane.weight = it.weight;
        // A contract that returns to the queue starts level with the others:
        // turns that it did not use while it had no calls are not credited. The
        // turns it used shortly before do count; otherwise a contract with one
        // call at a time would always be served first and contracts with many
        // waiting calls would starve.
        auto const left = m_left.find(it.contract);
        lane.start = left == m_left.end()
                         ? m_virtual_time
                         : std::max(m_virtual_time, left->second);
        m_weights += lane.weight;
        m_turns.emplace(lane.start, it.contract);
    }
    m_deadlines.insert(it.deadline);
    ++m_size;
    auto& calls =
        it.urgent == model::urgency::urgent ? lane.urgent : lane.normal;
    calls.push_back(std::move(it));
}

std::optional<call> call_queue::pop()
{
    if (m_turns.empty())
    {
        return std::nullopt;
    }
    auto turn = m_turns.extract(m_turns.begin());
    auto& lane = m_lanes.at(turn.value().second);
    auto& calls = lane.urgent.empty() ? lane.normal : lane.urgent;
    auto it = std::move(calls.front());
    calls.pop_front();
    m_virtual_time = std::max(m_virtual_time, lane.start);
    lane.start += 1 / lane.weight;
    turn.value().first = lane.start;
    m_turns.insert(std::move(turn));
    return taken(std::move(it));
}

std::optional<call> call_queue::shed()
{
    auto const most = std::max_element(
        m_lanes.begin(), m_lanes.end(),
        [](auto const& a, auto const& b)
        {
            return static_cast<double>(a.second.size()) / a.second.weight <
                   static_cast<double>(b.second.size()) / b.second.weight;
        });
    if (most == m_lanes.end())
    {
        return std::nullopt;
    }
    auto& lane = most->second;
    auto& calls = lane.normal.empty() ? lane.urgent : lane.normal;
    auto it = std::move(calls.back());
    calls.pop_back();
    return taken(std::move(it));
}

std::optional<call> call_queue::remove(std::string const& request_id)
{
    for (auto& [name, lane] : m_lanes)
    {
        for (auto* calls : {&lane.urgent, &lane.normal})
        {
            auto const found = std::find_if(
                calls->begin(), calls->end(),
                [&](call const& it) { return it.request_id == request_id; });
            if (found != calls->end())
            {
                auto it = std::move(*found);
                calls->erase(found);
                return taken(std::move(it));
            }
        }
    }
    return std::nullopt;
}

std::vector<call> call_queue::take_due(base::instant least)
{
    std::vector<call> due;
    if (m_deadlines.empty() || *m_deadlines.begin() >= least)
    {
        return due;
    }
    for (auto& it : m_lanes)
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
        it = taken(std::move(it));
    }
    return due;
}

double call_queue::turns_before(call const& it) const
{
    auto const all = static_cast<double>(m_size);
    auto const found = m_lanes.find(it.contract);
    if (found == m_lanes.end())
    {
        return std::min(all, (m_weights + it.weight) / it.weight - 1);
    }
    auto const& lane = found->second;
    auto const own =
        it.urgent == model::urgency::urgent ? lane.urgent.size() : lane.size();
    auto const turns =
        static_cast<double>(own + 1) * m_weights / lane.weight - 1;
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
    auto const found = m_lanes.find(contract);
    if (found == m_lanes.end() || found->second.size() > 0)
    {
        return;
    }
    m_turns.erase({found->second.start, contract});
    m_weights -= found->second.weight;
    m_left[contract] = found->second.start;
    m_lanes.erase(found);
    if (m_lanes.empty())
    {
        m_left.clear();
        m_virtual_time = 0;
        m_weights = 0;
        return;
    }
    std::erase_if(m_left,
                  [&](auto const& it) { return it.second <= m_virtual_time; });
}

call call_queue::taken(call it)
{
    m_deadlines.erase(m_deadlines.find(it.deadline));
    --m_size;
    forget_if_empty(it.contract);
    return it;
}

} // namespace berylhill::calls
