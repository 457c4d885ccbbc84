#pragma once

#include <base/time.hpp>
#include <model/job.hpp>

#include <string>

namespace berylhill::calls
{

/// The properties of a call that decisions depend on; its body stays with the
/// transport. A value.
struct call
{
    std::string request_id;
    std::string contract;
    /// The contract's weight in fair queueing, above 0.
    double weight{1};
    /// On the clock of this process: the caller's timeout less the transmission
    /// time.
    base::instant deadline;
    /// Whether the call may be sent again when it is unknown whether it ran.
    model::rerun safety{model::rerun::at_most_once};
    model::urgency urgency{model::urgency::normal};

    friend bool operator==(call const&, call const&) = default;
};

} // namespace berylhill::calls
