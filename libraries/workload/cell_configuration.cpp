#include <workload/cell_configuration.hpp>

namespace berylhill::workload
{

queue_spec const* cell_configuration::match_queue(std::string_view host,
                                                  std::string_view path) const
{
    queue_spec const* best = nullptr;
    for (auto const& it : queues)
    {
        if (it.host != host || !path.starts_with(it.path_prefix))
        {
            continue;
        }
        if (best == nullptr || it.path_prefix.size() > best->path_prefix.size())
        {
            best = &it;
        }
    }
    return best;
}

queue_spec const* cell_configuration::find_queue(std::string_view name) const
{
    for (auto const& it : queues)
    {
        if (it.name == name)
        {
            return &it;
        }
    }
    return nullptr;
}

service_spec const*
cell_configuration::find_service(std::string_view name) const
{
    for (auto const& it : services)
    {
        if (it.name == name)
        {
            return &it;
        }
    }
    return nullptr;
}

} // namespace berylhill::workload
