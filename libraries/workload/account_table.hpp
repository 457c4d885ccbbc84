#pragma once

#include <base/finding.hpp>
#include <workload/account_spec.hpp>

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

namespace berylhill::workload
{

/// The client accounts of one configuration, found by their keys. A value.
class account_table
{
public:
    account_table() = default;

    /// Where two accounts have one key, the first keeps it.
    explicit account_table(std::vector<account_spec> accounts);

    [[nodiscard]] std::vector<account_spec> const& all() const noexcept
    {
        return m_accounts;
    }

    /// The account whose key it is; null where it is nobody's. Valid as long
    /// as the table.
    [[nodiscard]] account_spec const* find_by_key(std::string const& key) const;

    friend bool operator==(account_table const&,
                           account_table const&) = default;

private:
    std::vector<account_spec> m_accounts;
    std::unordered_map<std::string, std::size_t> m_by_key;
};

/// What is wrong with the accounts: a name or a key that two have, a weight or
/// a cap below 0. Names no key. Empty where nothing is.
[[nodiscard]] base::findings check(account_table const& it);

} // namespace berylhill::workload
