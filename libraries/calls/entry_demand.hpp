#pragma once

#include <string>
#include <vector>

namespace berylhill::calls
{

/// What one entry's callers ask of one contract. A value.
struct contract_demand
{
    std::string contract;
    /// Offered, admitted or not.
    double calls_per_s{0};
    /// At its peak since the last report, those refused for it included.
    double at_once{0};

    friend bool operator==(contract_demand const&,
                           contract_demand const&) = default;
};

/// What an entry gossips, so that all divide the limits alike. Contracts
/// without demand are left out. A value.
struct entry_demand
{
    std::string entry;
    std::vector<contract_demand> contracts;

    friend bool operator==(entry_demand const&, entry_demand const&) = default;
};

} // namespace berylhill::calls
