#pragma once

#include <model/job.hpp>

#include <compare>
#include <cstdint>
#include <string>

namespace berylhill::placement
{

enum class ledger_action_kind : std::uint8_t
{
    throttle,   ///< Ask the worker to limit the attempt's cores to `share`.
    checkpoint, ///< Ask the worker to checkpoint the attempt.
    stop,       ///< Ask the worker to stop the attempt.
    lost,       ///< The attempt vanished without an end; tell its job's owner.
};

/// An action that the group's owner has to take after an event. A value.
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
