#include <scheduler/instance_book.hpp>

#include <utility>

namespace berylhill::scheduler
{

void instance_book::list(instance_info it, base::instant now)
{
    auto& known = get(it.id);
    known.list(std::move(it), now);
}

void instance_book::unlist(std::string const& id)
{
    if (auto* const it = find(id); it != nullptr)
    {
        it->unlist();
    }
}

instance& instance_book::get(std::string const& id)
{
    auto& at = m_instances[id];
    if (!at)
    {
        at =
            std::make_shared<instance>(id, m_former_lease_end, ++m_last_number);
    }
    return *at;
}

instance* instance_book::find(std::string const& id)
{
    auto const at = m_instances.find(id);
    return at == m_instances.end() ? nullptr : at->second.get();
}

std::shared_ptr<instance> instance_book::share(std::string_view id) const
{
    auto const at = m_instances.find(id);
    return at == m_instances.end() ? nullptr : at->second;
}

void instance_book::forget_idle()
{
    std::erase_if(
        m_instances, [](auto const& it)
        { return !it.second->listed() && it.second->attempts().empty(); });
}

} // namespace berylhill::scheduler
