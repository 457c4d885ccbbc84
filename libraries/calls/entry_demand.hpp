#pragma once

#include <string>
#include <vector>

namespace berylhill::calls
{

/// Demand of one entry's callers on one contract. A value.
struct contract_demand
{
    std::string contract;
    /// Offered calls per second, admitted or not.
    double calls_per_s{0};
    /// Peak concurrency since the last report, including calls refused by the
    /// concurrency limit.
    double at_once{0};

    friend bool operator==(contract_demand const&,
                           contract_demand const&) = default;
};

/// The demand that an entry gossips, so that all entries compute the same
/// division of the limits. Contracts without demand are omitted. A value.
struct entry_demand
{
    std::string entry;
    std::vector<contract_demand> contracts;

    friend bool operator==(entry_demand const&, entry_demand const&) = default;
};

} // namespace berylhill::calls
