#pragma once

#include <model/job.hpp>

#include <compare>
#include <cstdint>
#include <string>

namespace berylhill::placement
{

enum class ledger_action_kind : std::uint8_t
{
    throttle,   ///< Send the worker a throttle with `share`.
    checkpoint, ///< Ask the worker to checkpoint the attempt.
    stop,       ///< Ask the worker to stop the attempt.
    lost,       ///< The attempt is gone without an end; tell its job's owner.
};

/// What the group's owner has to do after an event. A value.
struct ledger_action
{
    ledger_action_kind kind{ledger_action_kind::stop};
    std::string worker;
    model::attempt_id attempt;
    double share{1};

    friend bool operator==(ledger_action const&,
                           ledger_action const&) = default;
};

} // namespace berylhill::placement
