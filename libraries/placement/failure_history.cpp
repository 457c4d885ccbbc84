#include <placement/failure_history.hpp>

#include <algorithm>

namespace berylhill::placement
{

namespace
{

// Counts are halved at this many ended attempts, so that recent attempts weigh
// most.
constexpr std::int32_t s_max_ended = 64;
// At this many names the history is cleared, which bounds its memory. The
// counts recover within a few attempts.
constexpr std::size_t s_max_names = 4096;

} // namespace

void failure_history::add(std::string const& job_name,
                          std::string const& worker,
                          bool failed)
{
    if (m_jobs.size() >= s_max_names && !m_jobs.contains(job_name))
    {
        m_jobs.clear();
    }
    auto& job = m_jobs[job_name];
    for (auto* it : {&job.all, &job.by_worker[worker]})
    {
        it->ended += 1;
        it->failed += failed ? 1 : 0;
    }
    if (job.all.ended < s_max_ended)
    {
        return;
    }
    job.all = {};
    for (auto& [name, it] : job.by_worker)
    {
        it = {it.ended / 2, it.failed / 2};
        job.all.ended += it.ended;
        job.all.failed += it.failed;
    }
}

double failure_history::failure_probability(std::string const& job_name,
                                            std::string const& worker,
                                            double cell_rate) const
{
    constexpr double prior_ended = 2;
    constexpr double prior_failed = 1;
    counts elsewhere;
    if (auto const job = m_jobs.find(job_name); job != m_jobs.end())
    {
        elsewhere = job->second.all;
        auto const here = job->second.by_worker.find(worker);
        if (here != job->second.by_worker.end())
        {
            elsewhere.ended -= here->second.ended;
            elsewhere.failed -= here->second.failed;
        }
    }
    auto const rate =
        (elsewhere.failed + prior_failed) / (elsewhere.ended + prior_ended);
    return std::max(cell_rate, rate);
}

} // namespace berylhill::placement
