#pragma once

#include <workload/resources.hpp>

#include <string>
#include <vector>

namespace berylhill::workload
{

/// A client account of the configuration. A value.
struct account_spec
{
    std::string name;
    /// Each names the account to whoever has it; never logged.
    std::vector<std::string> keys;
    /// Jobs a second that it is owed while more is asked than fits; 0: none is
    /// stated.
    double weight{0};
    /// What its tasks may take on all instances together; 0 in a dimension:
    /// no limit.
    resources cap;

    friend bool operator==(account_spec const&, account_spec const&) = default;
};

} // namespace berylhill::workload
