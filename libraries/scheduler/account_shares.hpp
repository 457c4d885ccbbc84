#pragma once

#include <base/time.hpp>
#include <workload/account_spec.hpp>

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace berylhill::scheduler
{

/// Decides which submitted jobs are within their client account's share, which
/// is as many jobs per second as the account's weight. Jobs beyond it have
/// lower priority than the jobs of all other accounts.
///
/// Without it, an account that submits several times its usual rate for some
/// seconds takes the place of all other accounts' jobs.
///
/// One token bucket per account. Pure. Not thread-safe.
class account_shares
{
public:
    /// Sets the weights. An account that is not named keeps its weight.
    void set_accounts(std::vector<workload::account_spec> const& it);

    /// Counts a job that is submitted now. Returns whether it is within the
    /// account's share; always true for an account without a weight.
    [[nodiscard]] bool take(std::string_view account, base::instant now);

private:
    struct bucket
    {
        double weight{0};
        double tokens{0};
        base::instant filled_at{};
    };

    std::map<std::string, bucket, std::less<>> m_buckets;
};

} // namespace berylhill::scheduler
