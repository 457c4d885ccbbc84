#pragma once

#include <base/time.hpp>
#include <model/job.hpp>

#include <string>

namespace berylhill::calls
{

/// What a decision has to know of a call; its body stays with the transport.
/// A value.
struct call
{
    std::string request_id;
    std::string contract;
    /// The contract's share against others, above 0.
    double weight{1};
    /// On this process's clock: the caller's timeout less the way here.
    base::instant deadline;
    /// Whether it may be sent again when it is not known if it ran.
    model::rerun safety{model::rerun::at_most_once};
    model::urgency urgent{model::urgency::normal};

    friend bool operator==(call const&, call const&) = default;
};

} // namespace berylhill::calls
