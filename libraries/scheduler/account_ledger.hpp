#pragma once

#include <workload/account_spec.hpp>
#include <workload/resources.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace berylhill::scheduler
{

/// What each client account may have running, and has: all that may be at
/// work on some instance, whoever ordered it, until it has surely ended.
///
/// Answers accounts that ask for more than their cap, whose orders are lost,
/// carried out late or given by a former owner meanwhile.
///
/// Pure. Not thread-safe.
class account_ledger
{
public:
    /// Sets the caps. An account that is not named keeps the cap that it had:
    /// its jobs still run under their last rules.
    void set_accounts(std::vector<workload::account_spec> const& it);

    /// An attempt of the account takes this from now on.
    void add(std::string_view account, workload::resources const& taken);

    /// It has surely ended. Precondition: it was added.
    void remove(std::string_view account, workload::resources const& taken);

    /// How many tasks of this size the account may start now, `most` at most.
    /// Accounts without a cap have no limit.
    [[nodiscard]] std::uint32_t room_for(std::string_view account,
                                         workload::resources const& task,
                                         std::uint32_t most) const;

    /// Whether so many tasks of this size are within the account's cap while
    /// it has nothing else running.
    [[nodiscard]] bool can_hold(std::string_view account,
                                workload::resources const& task,
                                std::uint32_t tasks) const;

    /// Whether the account has half of its cap or more running, in some
    /// dimension.
    [[nodiscard]] bool half_used(std::string_view account) const;

    /// What the account has running.
    [[nodiscard]] workload::resources used(std::string_view account) const;

    /// What the account may have running; 0 in a dimension: no limit.
    [[nodiscard]] workload::resources cap(std::string_view account) const;

private:
    struct entry
    {
        workload::resources cap;
        workload::resources used;
    };

    std::map<std::string, entry, std::less<>> m_entries;
};

} // namespace berylhill::scheduler
