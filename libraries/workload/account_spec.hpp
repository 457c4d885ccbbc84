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
    /// Callers that present one of these keys belong to the account. Secret:
    /// never logged.
    std::vector<std::string> keys;
    /// Jobs per second that the account is entitled to while demand exceeds
    /// capacity; 0: not specified.
    double weight{0};
    /// Limit on the resources of its tasks over all instances; 0 in a
    /// dimension: no limit.
    resources cap;

    friend bool operator==(account_spec const&, account_spec const&) = default;
};

} // namespace berylhill::workload
