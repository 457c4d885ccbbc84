#include <lease/inventory_barrier.hpp>

#include <utility>

namespace berylhill::lease
{

inventory_barrier::inventory_barrier(
    std::map<std::string, base::instant> expires_at)
    : m_missing{std::move(expires_at)}
{
}

void inventory_barrier::inventory_received(std::string const& worker)
{
    m_missing.erase(worker);
}

void inventory_barrier::worker_removed(std::string const& worker)
{
    m_missing.erase(worker);
}

bool inventory_barrier::is_open(base::instant now) const
{
    return missing(now).empty();
}

std::vector<std::string> inventory_barrier::missing(base::instant now) const
{
    std::vector<std::string> names;
    for (auto const& [name, expires_at] : m_missing)
    {
        if (now < expires_at)
        {
            names.push_back(name);
        }
    }
    return names;
}

} // namespace berylhill::lease
