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

/// Writes all that was seen to `file`, one event a line.
void keep(run_report const& it, std::string const& file);

} // namespace berylhill::scenario
