#pragma once

#include <base/time.hpp>
#include <calls/call_outcome.hpp>

#include <compare>
#include <string>
#include <variant>
#include <vector>

namespace berylhill::calls
{

/// Send the call to this minion once, on a connection of its own. Report
/// `answered` or `not_run` when the result arrives, even if the call was given
/// up on meanwhile, and `connection_closed` when the connection breaks or
/// `timeout` expires. Until then only the late answer shows that the minion's
/// slot is free.
struct send_to_minion
{
    std::string request_id;
    std::string minion;
    /// Time limit from the send; it ends after the call's deadline, which the
    /// pool enforces.
    base::duration timeout;

    friend bool operator==(send_to_minion const&,
                           send_to_minion const&) = default;
};

/// The call is queued for a slot; no action is needed.
struct call_queued
{
    std::string request_id;
    base::duration expected_wait;

    friend bool operator==(call_queued const&, call_queued const&) = default;
};

/// Send the caller its final answer now.
struct refuse_call
{
    std::string request_id;
    refusal why;

    friend bool operator==(refuse_call const&, refuse_call const&) = default;
};

/// Pass the minion's answer on to the caller.
struct deliver_answer
{
    std::string request_id;

    friend bool operator==(deliver_answer const&,
                           deliver_answer const&) = default;
};

/// The answer belongs to a call that was given up on or is unknown: discard and
/// count it.
struct drop_answer
{
    std::string request_id;

    friend bool operator==(drop_answer const&, drop_answer const&) = default;
};

/// Check on a new connection whether the minion answers, and report the result
/// with `probed`.
struct probe_minion
{
    std::string minion;

    friend bool operator==(probe_minion const&, probe_minion const&) = default;
};

using minion_pool_action = std::variant<send_to_minion,
                                        call_queued,
                                        refuse_call,
                                        deliver_answer,
                                        drop_answer,
                                        probe_minion>;
using minion_pool_actions = std::vector<minion_pool_action>;

} // namespace berylhill::calls
