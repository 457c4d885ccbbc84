#include <scheduler/account_shares.hpp>

#include <algorithm>

namespace berylhill::scheduler
{

namespace
{

/// Bucket size, in seconds of the account's rate.
constexpr double burst_s = 2;

/// Lower bound of the bucket size in jobs: even an account with a small weight
/// submits jobs in random clusters.
constexpr double least_burst = 4;

double most_tokens(double weight)
{
    return std::max(least_burst, burst_s * weight);
}

} // namespace

void account_shares::set_accounts(std::vector<workload::account_spec> const& it)
{
    for (auto const& account : it)
    {
        auto const [at, added] = m_buckets.try_emplace(account.name);
        at->second.weight = account.weight;
        if (added)
        {
            at->second.tokens = most_tokens(account.weight);
        }
    }
}

bool account_shares::take(std::string_view account, base::instant now)
{
    auto const at = m_buckets.find(account);
    if (at == m_buckets.end() || at->second.weight <= 0)
    {
        return true;
    }
    auto& it = at->second;
    auto const since = std::max(0.0, base::seconds_of(now - it.filled_at));
    it.tokens = std::min(most_tokens(it.weight), it.tokens + it.weight * since);
    it.filled_at = now;
    if (it.tokens < 1)
    {
        return false;
    }
    it.tokens -= 1;
    return true;
}

} // namespace berylhill::scheduler
