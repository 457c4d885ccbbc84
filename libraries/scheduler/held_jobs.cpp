#include <scheduler/held_jobs.hpp>

#include <algorithm>
#include <iterator>

namespace berylhill::scheduler
{

namespace
{

/// Pause before rejected records are tried again, doubled each time up to the
/// limit: the store counts and bills rejected calls.
constexpr base::duration first_pause = std::chrono::seconds{1};
constexpr base::duration max_pause = std::chrono::seconds{30};

} // namespace

bool held_jobs::hold(workload::job_id it, base::instant now)
{
    auto const [at, added] = m_jobs.try_emplace(it);
    auto& job = at->second;
    job.pause = added ? first_pause : std::min(2 * job.pause, max_pause);
    job.next_try = now + job.pause;
    return added;
}

std::vector<workload::job_id> held_jobs::take_due(base::instant now)
{
    std::vector<workload::job_id> out;
    for (auto& [id, it] : m_jobs)
    {
        if (it.next_try && now >= *it.next_try)
        {
            it.next_try.reset();
            out.push_back(id);
        }
    }
    return out;
}

void held_jobs::note_end(workload::job_id of,
                         std::string const& instance,
                         std::uint64_t number)
{
    m_ends[instance].emplace(number, of);
}

std::optional<std::uint64_t>
held_jobs::first_unstored_end(std::string const& instance) const
{
    auto const at = m_ends.find(instance);
    return at == m_ends.end() ? std::nullopt
                              : std::optional{at->second.begin()->first};
}

std::vector<held_jobs::instance_end> held_jobs::release(workload::job_id it)
{
    std::vector<instance_end> out;
    if (m_jobs.erase(it) == 0)
    {
        return out;
    }
    for (auto at = m_ends.begin(); at != m_ends.end();)
    {
        auto& [instance, ends] = *at;
        std::erase_if(ends,
                      [&, &name = instance](auto const& each)
                      {
                          if (each.second != it)
                          {
                              return false;
                          }
                          out.push_back({name, each.first});
                          return true;
                      });
        at = ends.empty() ? m_ends.erase(at) : std::next(at);
    }
    return out;
}

} // namespace berylhill::scheduler
