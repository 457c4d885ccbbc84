#include <workload/account_table.hpp>

#include <set>
#include <string_view>
#include <utility>

namespace berylhill::workload
{

namespace
{

constexpr char const* source = "configuration";

void check_account(account_spec const& it,
                   std::string const& place,
                   base::findings& found)
{
    if (it.weight < 0)
    {
        found.add({source, 0, place + "/weight", "must not be negative"});
    }
    if (it.cap.cpu_millis < 0 || it.cap.memory_mb < 0 || it.cap.gpus < 0)
    {
        found.add({source, 0, place + "/cap", "must not be negative"});
    }
}

} // namespace

account_table::account_table(std::vector<account_spec> accounts)
    : m_accounts{std::move(accounts)}
{
    for (std::size_t n = 0; n < m_accounts.size(); ++n)
    {
        for (auto const& key : m_accounts[n].keys)
        {
            m_by_key.try_emplace(key, n);
        }
    }
}

account_spec const* account_table::find_by_key(std::string const& key) const
{
    auto const at = m_by_key.find(key);
    return at == m_by_key.end() ? nullptr : &m_accounts[at->second];
}

base::findings check(account_table const& it)
{
    base::findings out;
    std::set<std::string_view> names;
    std::set<std::string_view> keys;
    for (auto const& account : it.all())
    {
        auto const place = "/accounts/" + account.name;
        check_account(account, place, out);
        if (!names.insert(account.name).second)
        {
            out.add({source, 0, place, "duplicate account name"});
        }
        for (std::size_t n = 0; n < account.keys.size(); ++n)
        {
            if (!keys.insert(account.keys[n]).second)
            {
                out.add({source, 0, place + "/keys/" + std::to_string(n),
                         "duplicate key"});
            }
        }
    }
    return out;
}

} // namespace berylhill::workload
