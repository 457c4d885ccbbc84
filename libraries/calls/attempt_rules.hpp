#pragma once

#include <calls/call_outcome.hpp>
#include <model/job.hpp>

#include <cstdint>

namespace berylhill::calls
{

/// How one attempt at a call ended, as far as the calling entry knows.
enum class attempt_end : std::uint8_t
{
    answered,         ///< A complete answer with the request id of the call.
    not_sent,         ///< No byte left this entry.
    owner_refused,    ///< The group's owner answered that it sent nothing.
    ownership_moved,  ///< The owner hands the group over; it sent nothing.
    minion_refused,   ///< The minion answered that it did not run the call.
    connection_lost,  ///< The connection broke after a byte may have been sent.
    answer_truncated, ///< Only part of an answer arrived.
    timed_out,        ///< No answer arrived in time.
    owner_lost,       ///< The owner stopped answering while it held the call.
};

enum class next_step : std::uint8_t
{
    deliver,        ///< Pass the answer on to the caller.
    resend,         ///< Try another minion.
    refuse_not_run, ///< Final answer: the call did not run.
    refuse_unknown, ///< Final answer: the call may have run.
};

/// Whether further attempts at a call are allowed.
enum class resend_allowance : std::uint8_t
{
    allowed,
    exhausted, ///< The budget, limit, deadline or number of attempts is
               ///< exhausted.
};

/// The rules for resending calls.
class attempt_rules
{
public:
    /// Whether an attempt that ended this way certainly did not run.
    /// Thread-safe.
    [[nodiscard]] static bool surely_not_run(attempt_end end) noexcept;

    /// The next step after the latest attempt. `earlier` is `unknown` when an
    /// earlier attempt at the same call may have run; the call can then no
    /// longer be reported as not run. Thread-safe.
    [[nodiscard]] static next_step decide(attempt_end end,
                                          model::rerun safety,
                                          ran earlier,
                                          resend_allowance room) noexcept;

    /// Whether a resend after this end is charged to the retry budget. It is
    /// not if no work was assigned: when a group changes its owner, a planned
    /// stop would otherwise refuse calls for lack of budget. Thread-safe.
    [[nodiscard]] static bool costs_budget(attempt_end end) noexcept;

    /// Whether a second attempt may start while the first is still running.
    /// Thread-safe.
    [[nodiscard]] static bool may_hedge(model::rerun safety,
                                        resend_allowance room) noexcept;
};

} // namespace berylhill::calls
