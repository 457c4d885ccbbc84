#pragma once

#include <calls/call_outcome.hpp>
#include <model/job.hpp>

#include <cstdint>

namespace berylhill::calls
{

/// How one attempt at a call ended, as far as the calling entry knows.
enum class attempt_end : std::uint8_t
{
    answered,        ///< A whole answer with the call's own request id.
    not_sent,        ///< No byte left this entry.
    owner_refused,   ///< The group's owner answered that it sent nothing.
    ownership_moved, ///< The owner gives the group away; it sent nothing.
    minion_refused,  ///< The minion itself said that it did not run it.
    connection_lost, ///< The connection broke after a byte may have left.
    cut_short,       ///< A part of an answer came.
    timed_out,       ///< Nothing came in time.
    owner_lost,      ///< The owner went silent with the call in its hands.
};

enum class next_step : std::uint8_t
{
    deliver,        ///< Pass the answer on.
    resend,         ///< Try another minion.
    refuse_not_run, ///< The final answer: it did not run.
    refuse_unknown, ///< The final answer: it may have run.
};

/// What is left for further attempts at a call.
enum class resend_room : std::uint8_t
{
    left,
    none, ///< Budget, limit, deadline or number of attempts is used up.
};

/// The rules for sending a call again, in one place.
class attempt_rules
{
public:
    /// Whether an attempt that ended so certainly did not run. Thread-safe.
    [[nodiscard]] static bool surely_not_run(attempt_end end) noexcept;

    /// What follows the newest attempt. `earlier` is `unknown` when an
    /// earlier attempt at the same call may have run: then no later attempt
    /// makes the call "not run" again. Thread-safe.
    [[nodiscard]] static next_step after(attempt_end end,
                                         model::rerun safety,
                                         ran earlier,
                                         resend_room room) noexcept;

    /// Whether sending again after this end comes out of the retry budget. It
    /// does not where nobody was given work: a group changes hands, and a
    /// planned stop would refuse calls for want of budget. Thread-safe.
    [[nodiscard]] static bool costs_budget(attempt_end end) noexcept;

    /// Whether a second attempt may start while the first still runs.
    /// Thread-safe.
    [[nodiscard]] static bool may_hedge(model::rerun safety,
                                        resend_room room) noexcept;
};

} // namespace berylhill::calls
