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

/// Which jobs of a client account are within what it is owed: as many a second
/// as its weight says. What it hands in beyond that waits for all others.
///
/// Answers an account that hands in several times its usual for some seconds:
/// without it, its jobs take the place of all the others'.
///
/// A token bucket for each account. Pure. Not thread-safe.
class account_shares
{
public:
    /// An account that is not named keeps the weight that it had.
    void set_accounts(std::vector<workload::account_spec> const& it);

    /// Counts a job that is handed in now; returns whether the account is owed
    /// it. One without a weight is owed all.
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
