#include <scheduler/queue_table.hpp>

#include <utility>

namespace berylhill::scheduler
{

void queue_table::configure(workload::cell_configuration const& it)
{
    for (auto const& queue : it.queues)
    {
        auto& known = m_queues[queue.name];
        if (!known || *known != queue)
        {
            known = std::make_shared<workload::queue_spec const>(queue);
        }
    }
    for (auto const& service : it.services)
    {
        m_known.insert(service.name);
    }
    update_services();
}

void queue_table::add_removed(queue_pointer it)
{
    m_queues.emplace(it->name, std::move(it));
    update_services();
}

queue_table::queue_pointer const&
queue_table::find(std::string const& name) const
{
    static queue_pointer const unknown;
    auto const at = m_queues.find(name);
    return at == m_queues.end() ? unknown : at->second;
}

void queue_table::update_services()
{
    m_used.clear();
    for (auto const& [name, queue] : m_queues)
    {
        m_used.insert(queue->service);
    }
    m_known.insert(m_used.begin(), m_used.end());
}

} // namespace berylhill::scheduler
