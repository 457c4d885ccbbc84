#include <scheduler/instance_table.hpp>

#include <algorithm>
#include <utility>

namespace berylhill::scheduler
{

void instance_table::list(instance_info it,
                          std::optional<base::instant> written_after,
                          base::instant now)
{
    auto& known = get(it.id);
    known.list(std::move(it), written_after, now);
}

void instance_table::unlist(std::string const& id)
{
    if (auto* const it = find(id); it != nullptr)
    {
        it->unlist();
    }
}

instance& instance_table::get(std::string const& id)
{
    auto& at = m_instances[id];
    if (!at)
    {
        at = std::make_shared<instance>(id, m_former_lease_end, ++m_last_number,
                                        m_accounts.get(), m_attempts.get());
    }
    return *at;
}

instance* instance_table::find(std::string const& id)
{
    auto const at = m_instances.find(id);
    return at == m_instances.end() ? nullptr : at->second.get();
}

std::shared_ptr<instance> instance_table::share(std::string_view id) const
{
    auto const at = m_instances.find(id);
    return at == m_instances.end() ? nullptr : at->second;
}

std::vector<instance const*> instance_table::select_by_free_cpu(
    std::size_t most, std::function<bool(instance const&)> const& fits)
{
    std::vector<instance const*> out;
    auto it = m_instances.size() > most ? m_instances.upper_bound(m_looked_at)
                                        : m_instances.begin();
    for (std::size_t n = 0; n < m_instances.size() && out.size() < most; ++n)
    {
        if (it == m_instances.end())
        {
            it = m_instances.begin();
        }
        if (fits(*it->second))
        {
            out.push_back(it->second.get());
        }
        if (out.size() == most)
        {
            m_looked_at = it->first;
        }
        ++it;
    }
    std::ranges::sort(out, std::ranges::greater{},
                      [](instance const* at) { return at->room().cpu_millis; });
    return out;
}

void instance_table::forget_idle()
{
    std::erase_if(
        m_instances, [](auto const& it)
        { return !it.second->listed() && it.second->attempts().empty(); });
}

} // namespace berylhill::scheduler
