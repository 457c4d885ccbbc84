#pragma once

#include <base/time.hpp>
#include <workload/task_name.hpp>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace berylhill::scheduler
{

/// Finds the tasks with losses that an instance can still show to have been no
/// crashes. Not thread-safe.
class unconfirmed_losses
{
public:
    /// The task has an unconfirmed loss on the instance, counted by then.
    void add(std::string const& instance,
             workload::task_name const& it,
             base::instant counted_at);

    /// Removes and returns the tasks whose losses on the instance were counted
    /// before it was alive.
    [[nodiscard]] std::vector<workload::task_name>
    take(std::string const& instance, base::instant alive_at);

    /// The instance has certainly crashed.
    void confirm(std::string const& instance);

    /// Removes the tasks of the job.
    void forget(workload::job_id it);

private:
    void remove(std::string const& instance, workload::job_id it);

    std::map<std::string, std::map<workload::task_name, base::instant>>
        m_by_instance;
    std::map<workload::job_id, std::set<std::string>> m_instances;
};

} // namespace berylhill::scheduler
