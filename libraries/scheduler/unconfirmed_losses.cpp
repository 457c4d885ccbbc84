#include <scheduler/unconfirmed_losses.hpp>

namespace berylhill::scheduler
{

void unconfirmed_losses::add(std::string const& instance,
                             workload::task_name const& it,
                             base::instant counted_at)
{
    m_by_instance[instance][it] = counted_at;
    m_instances[it.step.job].insert(instance);
}

std::vector<workload::task_name>
unconfirmed_losses::take(std::string const& instance, base::instant alive_at)
{
    std::vector<workload::task_name> out;
    auto const at = m_by_instance.find(instance);
    if (at == m_by_instance.end())
    {
        return out;
    }
    std::erase_if(at->second,
                  [&](auto const& each)
                  {
                      if (each.second >= alive_at)
                      {
                          return false;
                      }
                      out.push_back(each.first);
                      return true;
                  });
    if (at->second.empty())
    {
        m_by_instance.erase(at);
    }
    return out;
}

void unconfirmed_losses::confirm(std::string const& instance)
{
    m_by_instance.erase(instance);
}

void unconfirmed_losses::forget(workload::job_id it)
{
    auto const of = m_instances.find(it);
    if (of == m_instances.end())
    {
        return;
    }
    for (auto const& instance : of->second)
    {
        remove(instance, it);
    }
    m_instances.erase(of);
}

void unconfirmed_losses::remove(std::string const& instance,
                                workload::job_id it)
{
    auto const at = m_by_instance.find(instance);
    if (at == m_by_instance.end())
    {
        return;
    }
    std::erase_if(at->second,
                  [&](auto const& each) { return each.first.step.job == it; });
    if (at->second.empty())
    {
        m_by_instance.erase(at);
    }
}

} // namespace berylhill::scheduler
