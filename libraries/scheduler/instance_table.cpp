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
        auto const lease_end = parse_life(id).born_ms == 0
                                   ? m_former_lease_end
                                   : m_former_life_lease_end;
        at = std::make_shared<instance>(id, lease_end, ++m_last_number,
                                        m_accounts.get(), m_attempts.get());
    }
    return *at;
}

instance* instance_table::find(std::string const& id)
{
    auto const at = m_instances.find(id);
    return at == m_instances.end() ? nullptr : at->second.get();
}

instance const* instance_table::find(std::string const& id) const
{
    auto const at = m_instances.find(id);
    return at == m_instances.end() ? nullptr : at->second.get();
}

std::vector<std::string> instance_table::lives(std::string const& id) const
{
    std::vector<std::string> out;
    if (m_instances.contains(id) && parse_life(id).id == id)
    {
        out.push_back(id);
    }
    // These names are adjacent.
    auto const prefix = life_prefix(id);
    for (auto it = m_instances.lower_bound(prefix);
         it != m_instances.end() && it->first.starts_with(prefix); ++it)
    {
        if (parse_life(it->first).id == id)
        {
            out.push_back(it->first);
        }
    }
    return out;
}

std::vector<std::string>
instance_table::former_lives(instance_life const& it) const
{
    auto out = lives(it.id);
    std::erase_if(out, [&](auto const& name)
                  { return parse_life(name).born_ms >= it.born_ms; });
    return out;
}

std::vector<std::string>
instance_table::later_lives(instance_life const& it) const
{
    auto out = lives(it.id);
    std::erase_if(out, [&](auto const& name)
                  { return parse_life(name).born_ms <= it.born_ms; });
    return out;
}

bool instance_table::replaced_by_later_life(instance_life const& it) const
{
    return std::ranges::any_of(later_lives(it), [&](auto const& name)
                               { return m_instances.at(name)->fenced(); });
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

void instance_table::forget_idle(base::instant now,
                                 base::duration max_request_delay)
{
    std::erase_if(
        m_instances,
        [&](auto const& each)
        {
            auto const& it = *each.second;
            if (it.needs_reports(now))
            {
                return false;
            }
            auto const lately_asked =
                it.asked_at() && now - *it.asked_at() < max_request_delay;
            return !lately_asked || parse_life(each.first).born_ms == 0;
        });
}

} // namespace berylhill::scheduler
