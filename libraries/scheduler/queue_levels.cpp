#include <scheduler/queue_levels.hpp>

#include <cmath>

namespace berylhill::scheduler
{

namespace
{

/// After so long a job counts a third of a new one: some times what a job may
/// take, and short against a day's changes.
constexpr double memory_s = 8;

/// A queue is taken to have had so many jobs in time before it was known.
constexpr double believed_jobs = 4;

} // namespace

void queue_levels::note(std::string const& queue,
                        bool in_time,
                        base::instant now)
{
    auto const [at, added] = m_levels.try_emplace(queue);
    auto& it = at->second;
    if (added)
    {
        it.jobs = believed_jobs;
        it.in_time = believed_jobs;
    }
    else
    {
        auto const kept =
            std::exp(-base::seconds_of(now - it.noted_at) / memory_s);
        it.jobs *= kept;
        it.in_time *= kept;
    }
    it.noted_at = now;
    it.jobs += 1;
    it.in_time += in_time ? 1 : 0;
}

double queue_levels::share(level const& of)
{
    return of.in_time / of.jobs;
}

base::duration queue_levels::lead(std::string const& queue) const
{
    auto const at = m_levels.find(queue);
    if (at == m_levels.end() || m_full_lead.count() == 0)
    {
        return base::duration{0};
    }
    auto sum = 0.0;
    for (auto const& [name, it] : m_levels)
    {
        sum += share(it);
    }
    auto const mean = sum / static_cast<double>(m_levels.size());
    return base::from_seconds(base::seconds_of(m_full_lead) *
                              (mean - share(at->second)));
}

} // namespace berylhill::scheduler
