#pragma once

#include <placement/ledger_action.hpp>

#include <base/time.hpp>
#include <model/contract.hpp>
#include <model/resources.hpp>

#include <vector>

namespace berylhill::placement
{

/// One task of a worker, as of the worker's last report.
struct task_use
{
    model::attempt_id attempt;
    model::resources planned;
    model::resources used;
    model::urgency urgent{model::urgency::normal};
    model::rerun safety{model::rerun::idempotent};
    base::instant started_at{};
    bool throttled{false};
    /// Whether it was already asked to checkpoint or stop.
    bool leaving{false};
};

/// The actions to take when the tasks of one worker use more than its capacity,
/// or are about to. Has no side effects.
///
/// Protects against declarations and estimates that were too small: use grows
/// beyond the plan until the machine runs out of memory and fails every task on
/// it. Tasks beyond their plan are throttled first, which slows the growth; if
/// memory use still exceeds 95% of the worker, tasks are checkpointed, the
/// cheapest first, before the worker is full.
[[nodiscard]] std::vector<ledger_action>
actions_against_overuse(std::string const& worker,
                        model::resources const& capacity,
                        std::vector<task_use> tasks);

} // namespace berylhill::placement
