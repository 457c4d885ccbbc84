#pragma once

#include <base/finding.hpp>
#include <workload/account_spec.hpp>

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

namespace berylhill::workload
{

/// The client accounts of one configuration, indexed by their keys. A value.
class account_table
{
public:
    account_table() = default;

    /// If two accounts have the same key, it belongs to the first.
    explicit account_table(std::vector<account_spec> accounts);

    [[nodiscard]] std::vector<account_spec> const& all() const noexcept
    {
        return m_accounts;
    }

    /// The account with this key; null if there is none. Valid as long as the
    /// table.
    [[nodiscard]] account_spec const* find_by_key(std::string const& key) const;

    friend bool operator==(account_table const&,
                           account_table const&) = default;

private:
    std::vector<account_spec> m_accounts;
    std::unordered_map<std::string, std::size_t> m_by_key;
};

/// Finds errors in the accounts: duplicate names or keys, negative weights or
/// caps. The findings contain no key. Empty if the accounts are valid.
[[nodiscard]] base::findings check(account_table const& it);

} // namespace berylhill::workload
