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

/// The resource caps of the client accounts and the resources that each of them
/// uses. An attempt counts from the moment it is ordered until it is certain
/// that it has ended, whichever owner ordered it.
///
/// Keeps accounts within their caps even if orders are lost, carried out late
/// or sent by a former owner.
///
/// Pure. Not thread-safe.
class account_ledger
{
public:
    /// Sets the caps. An account that is not named keeps its cap, since its
    /// jobs continue under their last configuration.
    void set_accounts(std::vector<workload::account_spec> const& it);

    /// Adds the resources of one attempt to the usage of the account.
    void add(std::string_view account, workload::resources const& taken);

    /// Subtracts the resources of an attempt that has certainly ended.
    /// Precondition: they were added.
    void remove(std::string_view account, workload::resources const& taken);

    /// How many tasks of this size the account may start now, at most `most`.
    /// Accounts without a cap have no limit.
    [[nodiscard]] std::uint32_t room_for(std::string_view account,
                                         workload::resources const& task,
                                         std::uint32_t most) const;

    /// Whether `tasks` tasks of this size are within the account's cap while it
    /// uses nothing else.
    [[nodiscard]] bool can_hold(std::string_view account,
                                workload::resources const& task,
                                std::uint32_t tasks) const;

    /// Whether the account uses at least half of its cap in any dimension.
    [[nodiscard]] bool half_used(std::string_view account) const;

    /// Whether the account's cap was lowered and it uses more than is left.
    /// Usage that is merely found after a takeover does not count as a reason
    /// to revoke starts that fitted when they were decided.
    [[nodiscard]] bool over_lowered_cap(std::string_view account) const;

    /// The resources that the account uses.
    [[nodiscard]] workload::resources used(std::string_view account) const;

    /// The cap of the account; 0 in a dimension means no limit.
    [[nodiscard]] workload::resources cap(std::string_view account) const;

private:
    struct entry
    {
        workload::resources cap;
        workload::resources used;
        bool lowered{false};
    };

    std::map<std::string, entry, std::less<>> m_entries;
};

} // namespace berylhill::scheduler
