#include <entry/configuration_store.hpp>

#include <utility>

namespace berylhill::entry
{

void configuration_store::change(
    std::function<void(configuration::state&)> const& change)
{
    std::lock_guard const lock{m_mutex};
    auto const before = m_state.offset();
    change(m_state);
    if (m_state.offset() == before)
    {
        return;
    }
    auto contracts = std::make_shared<contract_map>();
    for (auto& it : m_state.contracts())
    {
        auto name = it.contract.name;
        contracts->insert_or_assign(std::move(name), std::move(it));
    }
    m_contracts = std::move(contracts);
    m_changed.notify_all();
}

configuration::state configuration_store::state() const
{
    std::lock_guard const lock{m_mutex};
    return m_state;
}

std::shared_ptr<contract_map const> configuration_store::contracts() const
{
    std::lock_guard const lock{m_mutex};
    return m_contracts;
}

std::optional<model::contract>
configuration_store::contract(std::string const& name) const
{
    auto const all = contracts();
    auto const it = all->find(name);
    if (it == all->end())
    {
        return std::nullopt;
    }
    return it->second.contract;
}

std::int64_t configuration_store::offset() const
{
    std::lock_guard const lock{m_mutex};
    return m_state.offset();
}

bool configuration_store::is_stopping(model::endpoint_kind kind,
                                      std::string const& id) const
{
    std::lock_guard const lock{m_mutex};
    return m_state.is_stopping(kind, id);
}

std::optional<configuration::apply_verdict>
configuration_store::wait_for_verdict(std::string const& id,
                                      base::duration timeout)
{
    std::unique_lock lock{m_mutex};
    std::optional<configuration::apply_verdict> verdict;
    m_changed.wait_for(lock, timeout,
                       [&]
                       {
                           verdict = m_state.verdict_of(id);
                           return verdict.has_value();
                       });
    return verdict;
}

} // namespace berylhill::entry
