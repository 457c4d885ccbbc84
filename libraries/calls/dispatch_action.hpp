#pragma once

#include <calls/call.hpp>
#include <calls/call_outcome.hpp>
#include <calls/router.hpp>

#include <string>
#include <variant>
#include <vector>

namespace berylhill::calls
{

/// Offer the call to the owner of this group under the attempt's own request
/// id, and report the result once with `attempt_ended`.
struct send_to_owner
{
    /// Id of the caller's request; `attempt.request_id` identifies the attempt.
    std::string request_id;
    call attempt;
    route to;

    friend bool operator==(send_to_owner const&,
                           send_to_owner const&) = default;
};

/// Pass the answer of this attempt on to the caller.
struct deliver_attempt
{
    std::string request_id;
    std::string attempt_id;

    friend bool operator==(deliver_attempt const&,
                           deliver_attempt const&) = default;
};

/// Send this final answer to the caller now.
struct refuse_request
{
    std::string request_id;
    refusal why;

    friend bool operator==(refuse_request const&,
                           refuse_request const&) = default;
};

/// The attempt is no longer awaited; its owner may give up on it.
struct cancel_attempt
{
    std::string attempt_id;
    route at;

    friend bool operator==(cancel_attempt const&,
                           cancel_attempt const&) = default;
};

using dispatch_action = std::
    variant<send_to_owner, deliver_attempt, refuse_request, cancel_attempt>;
using dispatch_actions = std::vector<dispatch_action>;

} // namespace berylhill::calls
