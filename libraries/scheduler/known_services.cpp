#include <scheduler/known_services.hpp>

namespace berylhill::scheduler
{

void known_services::update(
    workload::cell_configuration const& it,
    std::map<std::string, workload::queue_spec> const& queues)
{
    for (auto const& service : it.services)
    {
        m_known.insert(service.name);
    }
    m_used.clear();
    for (auto const& [name, queue] : queues)
    {
        m_used.insert(queue.service);
        m_known.insert(queue.service);
    }
}

} // namespace berylhill::scheduler
