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

/// Asks a group's owner to allocate resources for one attempt. A value.
struct hold_request
{
    model::attempt_id attempt;
    std::string contract;
    std::string name;
    model::job_kind kind{model::job_kind::batch};
    model::urgency urgent{model::urgency::normal};
    model::rerun safety{model::rerun::idempotent};
    /// Whether the task may be checkpointed and moved to make way for urgent
    /// work.
    model::preemption preempted{model::preemption::never};
    /// The planned resources, which may differ from the declared ones.
    model::resources need;
    /// Upper estimate of the run time; 0 if unknown.
    double expected_run_s{0};
    std::string command;
    /// Workers on which the job failed; they are chosen only if no other fits.
    std::vector<std::string> avoid;
    /// Whether other tasks may be checkpointed when nothing is free for this
    /// urgent request.
    bool may_preempt{false};

    friend bool operator==(hold_request const&, hold_request const&) = default;
};

enum class hold_state : std::uint8_t
{
    held,
    full,       ///< No worker has enough free capacity now.
    never_fits, ///< No worker of the group is large enough even when empty.
    reserved,   ///< The group is reserved for a job that has waited longer.
    preempting, ///< Other tasks are being checkpointed; ask again soon.
    repeated,   ///< The attempt is already held or running here.
};

/// The group owner's answer to a hold request; exact when it is given.
struct hold_answer
{
    hold_state state{hold_state::full};
    /// The worker chosen; empty unless held.
    std::string worker;

    friend bool operator==(hold_answer const&, hold_answer const&) = default;
};

} // namespace berylhill::placement
