#pragma once

#include <scenario/checker.hpp>

#include <string>
#include <vector>

namespace berylhill::scenario
{

/// What came of one run.
struct run_report
{
    /// Outcomes that were stated and did not come, with their line.
    std::vector<std::string> missed;
    std::vector<breach> breaches;
    timeline seen;

    [[nodiscard]] bool held() const
    {
        return missed.empty() && breaches.empty();
    }
};

/// The breach or missed outcome with the events around it, for people.
[[nodiscard]] std::string explain(run_report const& it);

} // namespace berylhill::scenario
