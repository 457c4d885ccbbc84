#pragma once

#include <base/time.hpp>
#include <model/contract.hpp>
#include <model/job.hpp>
#include <placement/group_digest.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace berylhill::placement
{

/// Asks a group's owner to set room aside for one attempt. A value.
struct hold_request
{
    model::attempt_id attempt;
    std::string contract;
    std::string name;
    model::job_kind kind{model::job_kind::batch};
    model::urgency urgent{model::urgency::normal};
    model::rerun safety{model::rerun::idempotent};
    /// Whether the task may be checkpointed and moved for urgent work.
    model::preemption preempted{model::preemption::never};
    /// What is planned for it, which may differ from what was declared.
    model::resources need;
    /// How long it will most likely run at most; 0 where nobody knows.
    double expected_run_s{0};
    std::string command;
    /// Workers on which the job failed; others are taken where there are any.
    std::vector<std::string> avoid;
    /// An urgent request that finds no room may have others checkpointed.
    bool may_preempt{false};

    friend bool operator==(hold_request const&, hold_request const&) = default;
};

enum class hold_state : std::uint8_t
{
    held,
    full,       ///< No worker has room now.
    never_fits, ///< No worker of the group is large enough when empty.
    reserved,   ///< There is room, and it is kept for a job that waits longer.
    preempting, ///< Others are being checkpointed; ask again soon.
    repeated,   ///< The attempt is held or running here already.
};

/// What the group's owner answers; exact at the instant of the answer.
struct hold_answer
{
    hold_state state{hold_state::full};
    /// The worker chosen; empty unless held.
    std::string worker;

    friend bool operator==(hold_answer const&, hold_answer const&) = default;
};

} // namespace berylhill::placement
