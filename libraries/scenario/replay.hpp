#pragma once

#include <scenario/cell.hpp>
#include <scenario/run_report.hpp>
#include <scenario/trace.hpp>

#include <functional>
#include <string>
#include <vector>

namespace berylhill::scenario
{

struct replay_options
{
    cell_options cell;
    /// Contracts that are applied before the first line.
    Json::Value contracts;
    /// After the last line, until all work has ended.
    base::duration settle{std::chrono::seconds{60}};
};

/// Replays a trace against real processes and holds its stated outcomes and
/// all promises against the history. To be used by the main thread.
class replay
{
public:
    /// `progress` is called about every second with a line for people.
    replay(replay_options options,
           std::function<void(std::string const&)> progress);

    [[nodiscard]] run_report run(std::vector<trace_line> const& trace);

private:
    void run_lines(std::vector<trace_line> const& trace,
                   cell& to,
                   api_client& api,
                   workload& work);
    void settle(std::vector<trace_line> const& trace, workload const& work);
    void show(workload const& work);

    replay_options m_options;
    std::function<void(std::string const&)> m_progress;
    base::system_clock m_clock;
    base::instant m_started{};
    base::instant m_shown{};
    run_report m_report;
};

/// What was stated and did not come, one line each.
[[nodiscard]] std::vector<std::string>
missed_outcomes(std::vector<trace_line> const& trace, timeline const& seen);

} // namespace berylhill::scenario
