#include "world.hpp"

#include <algorithm>
#include <set>

namespace berylhill::scheduler_test
{

namespace
{

/// The share of the rejected jobs whose records are never taken again.
constexpr double for_good_share = 0.3;

constexpr base::instant never = base::instant::max();

workload::job_id job_of(scheduler::record const& it)
{
    return scheduler::parse_record_key(it.key).job;
}

} // namespace

/// From now on the store rejects the records of a job that it has taken before,
/// or of the next one that is submitted.
void world::reject_some_job()
{
    auto const number = std::uniform_int_distribution<std::uint64_t>{
        m_next_job > 10 ? m_next_job - 10 : 1, m_next_job}(m_record_random);
    if (chance(m_record_random, for_good_share))
    {
        m_rejected_until[{number}] = never;
        return;
    }
    auto const span = std::uniform_int_distribution<std::int64_t>{500, 8'000}(
        m_record_random);
    m_rejected_until[{number}] = m_now + std::chrono::milliseconds{span};
}

bool world::rejects_records_of(workload::job_id it) const
{
    auto const at = m_rejected_until.find(it);
    return at != m_rejected_until.end() && m_now < at->second;
}

bool world::rejected_for_good(workload::job_id it) const
{
    auto const at = m_rejected_until.find(it);
    return at != m_rejected_until.end() && at->second == never;
}

/// Removes and returns the records that the store rejects now.
std::vector<scheduler::record>
world::take_rejected(std::vector<scheduler::record>& records) const
{
    auto const rest =
        std::stable_partition(records.begin(), records.end(),
                              [this](scheduler::record const& it)
                              { return !rejects_records_of(job_of(it)); });
    std::vector<scheduler::record> out{rest, records.end()};
    records.erase(rest, records.end());
    return out;
}

/// The rest of a job's records is not appended either.
void world::note_rejected(owner& by,
                          std::vector<scheduler::record> const& rejected) const
{
    std::set<workload::job_id> jobs;
    for (auto const& it : rejected)
    {
        jobs.insert(job_of(it));
    }
    for (auto const job : jobs)
    {
        // Whether earlier records of the batch are stored is not remembered.
        by.rejected.push_back(
            {job, by.in_doubt || partitions()
                      ? scheduler::rejected_records::may_be_stored
                      : scheduler::rejected_records::not_stored});
    }
    std::erase_if(by.rest_of_batch, [&](scheduler::record const& it)
                  { return jobs.contains(job_of(it)); });
}

void world::batch_stored(owner& by)
{
    if (m_fault == planted::believe_unstored)
    {
        return;
    }
    if (m_fault == planted::believe_rejected)
    {
        by.rejected.clear();
    }
    by.decisions->batch_stored(m_now, by.rejected);
    std::set<workload::job_id> jobs;
    for (auto const& it : by.rejected)
    {
        jobs.insert(it.job);
    }
    for (auto const& it : by.clients.rejected(jobs))
    {
        if (by.decisions->jobs().find(it.job) == nullptr)
        {
            it.done({cell::job_answer_kind::refused, {}, 0, {}});
        }
    }
}

} // namespace berylhill::scheduler_test
