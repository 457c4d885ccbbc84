#include <placement/contract_account.hpp>

#include <placement/policy.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

namespace berylhill::placement
{

namespace
{

constexpr double s_tokens_per_first_start = 0.2;
constexpr double s_max_retry_tokens = 50;
constexpr double s_min_weight = 1e-6;

} // namespace

contract_account::contract_account(model::contract it)
    : m_contract{std::move(it)}
    , m_retry_tokens{s_max_retry_tokens}
{
}

contract_account::~contract_account()
{
    for (auto const& it : active)
    {
        it->jobs.clear();
    }
}

void contract_account::set_contract(model::contract it)
{
    m_contract = std::move(it);
}

bool contract_account::allows(model::resources const& need,
                              std::int32_t tasks) const
{
    return m_tasks + tasks <= m_contract.tasks_at_once &&
           (m_used + need * tasks).fits_in(m_contract.quota);
}

bool contract_account::allows_urgent(model::resources const& need,
                                     std::int32_t tasks) const
{
    return (m_urgent_used + need * tasks).fits_in(m_contract.urgent_quota);
}

void contract_account::charge(task_record& it)
{
    assert(!it.charged);
    it.charged = true;
    m_tasks += 1;
    m_used = m_used + it.planned;
    if (it.urgent)
    {
        m_urgent_used = m_urgent_used + it.planned;
    }
}

void contract_account::refund(task_record& it)
{
    if (!it.charged)
    {
        return;
    }
    it.charged = false;
    m_tasks -= 1;
    m_used = m_used - it.planned;
    if (it.urgent)
    {
        m_urgent_used = m_urgent_used - it.planned;
    }
}

double contract_account::weighted_share(model::resources const& cell) const
{
    return dominant_share(m_used, cell) /
           std::max(m_contract.weight, s_min_weight);
}

void contract_account::on_first_start()
{
    m_retry_tokens =
        std::min(m_retry_tokens + s_tokens_per_first_start, s_max_retry_tokens);
}

bool contract_account::take_retry_token()
{
    if (m_retry_tokens < 1)
    {
        return false;
    }
    m_retry_tokens -= 1;
    return true;
}

} // namespace berylhill::placement
