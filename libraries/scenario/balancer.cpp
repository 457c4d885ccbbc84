#include <scenario/balancer.hpp>

#include <algorithm>
#include <utility>

namespace berylhill::scenario
{

void balancer::add(entry_address it)
{
    remove(it.name);
    std::lock_guard const lock{m_mutex};
    m_entries.push_back(std::move(it));
}

void balancer::remove(std::string const& name)
{
    std::lock_guard const lock{m_mutex};
    std::erase_if(m_entries,
                  [&](entry_address const& it) { return it.name == name; });
}

std::vector<entry_address> balancer::all() const
{
    std::lock_guard const lock{m_mutex};
    return m_entries;
}

std::vector<entry_address> balancer::next_order()
{
    std::lock_guard const lock{m_mutex};
    auto order = m_entries;
    if (!order.empty())
    {
        auto const first = static_cast<std::ptrdiff_t>(m_next++ % order.size());
        std::rotate(order.begin(), order.begin() + first, order.end());
    }
    return order;
}

} // namespace berylhill::scenario
