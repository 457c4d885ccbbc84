#include <entry/worker_outbox.hpp>

#include <algorithm>
#include <utility>

namespace berylhill::entry
{

void worker_outbox::start(platform::task_start it)
{
    auto const attempt = it.attempt;
    m_starts.insert_or_assign(attempt, std::move(it));
    m_urgent = true;
}

void worker_outbox::stop(model::attempt_id const& it)
{
    m_starts.erase(it);
    m_stops.insert(it);
    m_urgent = true;
}

void worker_outbox::checkpoint(model::attempt_id const& it)
{
    m_checkpoints.insert(it);
    m_urgent = true;
}

void worker_outbox::throttle(model::attempt_id const& it, double share)
{
    m_throttles[it] = share;
    m_urgent = true;
}

void worker_outbox::acknowledge(model::attempt_id const& it)
{
    m_acknowledged.insert(it);
}

void worker_outbox::forget(model::attempt_id const& it)
{
    m_starts.erase(it);
    m_stops.erase(it);
    m_checkpoints.erase(it);
    m_throttles.erase(it);
}

bool worker_outbox::urgent() const noexcept
{
    return m_urgent;
}

platform::worker_request worker_outbox::request(std::int64_t epoch,
                                                std::int64_t renew_until)
{
    platform::worker_request out;
    out.epoch = epoch;
    out.renew_until = renew_until;
    if (renew_until != 0)
    {
        for (auto const& it : m_starts)
        {
            out.starts.push_back(it.second);
            out.starts.back().lease_until = renew_until;
        }
    }
    out.stops.assign(m_stops.begin(), m_stops.end());
    out.checkpoints.assign(m_checkpoints.begin(), m_checkpoints.end());
    for (auto const& it : m_throttles)
    {
        out.throttles.push_back({it.first, it.second});
    }
    for (auto const& it : m_acknowledged)
    {
        if (!m_late_starts.contains(it))
        {
            out.acknowledged.push_back(it);
        }
    }
    m_urgent = false;
    return out;
}

void worker_outbox::taken(platform::worker_request const& request,
                          std::int64_t clock)
{
    std::erase_if(m_late_starts,
                  [&](auto const& it) { return it.second <= clock; });
    for (auto const& it : request.starts)
    {
        m_starts.erase(it.attempt);
    }
    for (auto const& it : request.stops)
    {
        if (!m_late_starts.contains(it))
        {
            m_stops.erase(it);
        }
    }
    for (auto const& it : request.checkpoints)
    {
        m_checkpoints.erase(it);
    }
    for (auto const& it : request.throttles)
    {
        m_throttles.erase(it.attempt);
    }
    for (auto const& it : request.acknowledged)
    {
        m_acknowledged.erase(it);
    }
}

void worker_outbox::not_taken() noexcept
{
    m_urgent = false;
}

void worker_outbox::unanswered(platform::worker_request const& request)
{
    not_taken();
    for (auto const& it : request.starts)
    {
        auto& lapses_at = m_late_starts[it.attempt];
        lapses_at = std::max(lapses_at, it.lease_until);
    }
}

void worker_outbox::process_replaced()
{
    m_late_starts.clear();
}

std::set<model::attempt_id> worker_outbox::late_starts() const
{
    std::set<model::attempt_id> attempts;
    for (auto const& it : m_late_starts)
    {
        attempts.insert(it.first);
    }
    return attempts;
}

bool worker_outbox::acknowledges(model::attempt_id const& it) const
{
    return m_acknowledged.contains(it);
}

} // namespace berylhill::entry
