#include <scheduler/known_services.hpp>

#include <utility>

namespace berylhill::scheduler
{

void known_services::add_named(workload::cell_configuration const& it)
{
    for (auto const& service : it.services)
    {
        m_known.insert(service.name);
    }
}

void known_services::set_used(std::set<std::string> it)
{
    m_used = std::move(it);
    m_known.insert(m_used.begin(), m_used.end());
}

} // namespace berylhill::scheduler
