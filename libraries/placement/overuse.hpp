#pragma once

#include <placement/ledger_action.hpp>

#include <base/time.hpp>
#include <model/contract.hpp>
#include <model/resources.hpp>

#include <vector>

namespace berylhill::placement
{

/// One task on a worker as its last report showed it.
struct task_use
{
    model::attempt_id attempt;
    model::resources planned;
    model::resources used;
    model::urgency urgent{model::urgency::normal};
    model::rerun safety{model::rerun::idempotent};
    base::instant started_at{};
    bool throttled{false};
    /// It was asked to checkpoint or stop already.
    bool leaving{false};
};

/// What to do about the tasks of one worker that together use more than it
/// holds, or are about to. Pure.
///
/// Guards against declarations and estimates that were too small: it shows as
/// use that grows beyond the plan until the machine runs out of memory and
/// fails every task on it. The guard holds because the growth is throttled
/// first, which gains time, and what still does not fit is checkpointed, the
/// cheapest first, before the worker is full.
[[nodiscard]] std::vector<ledger_action>
relieve(std::string const& worker,
        model::resources const& capacity,
        std::vector<task_use> tasks);

} // namespace berylhill::placement
