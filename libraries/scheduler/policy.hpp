#pragma once

#include <base/time.hpp>
#include <scheduler/state_part.hpp>

#include <cstddef>
#include <cstdint>

namespace berylhill::scheduler
{

/// Time limits and bounds of the scheduler. A value. Some bounds come from the
/// settings; the reasons for the others are given here.
struct policy
{
    /// Duration of a lease. Long enough for attempts to survive a network
    /// interruption of some seconds or a change of owner, short enough for the
    /// work of a dead instance to be restarted in time.
    base::duration lease{std::chrono::seconds{8}};
    /// The longest lease that instances accept.
    base::duration longest_lease{std::chrono::seconds{10}};
    /// The largest share by which an instance's clock may run slower than the
    /// local one.
    double slow_clock_share{0.02};
    /// Added to the expiry of a lease for rounding errors and the instance's
    /// own timers.
    base::duration lapse_margin{std::chrono::milliseconds{300}};
    /// How long an owner goes on by itself after the last moment at which it
    /// certainly owned the work: then it starts nothing, and what it renews
    /// ends no later than a lease after that. The next owner waits for it, so
    /// it is short; an owner confirms itself several times in it.
    base::duration ownership_lease{std::chrono::seconds{2}};
    /// How long an instance waits for an attempt to end before it answers a
    /// hold request.
    base::duration hold_wait{std::chrono::milliseconds{1'000}};
    /// Delay before an unanswered order is sent again, doubled with each
    /// attempt up to the limit. An instance normally answers within a few
    /// milliseconds.
    base::duration order_retry{std::chrono::milliseconds{200}};
    base::duration order_retry_limit{std::chrono::milliseconds{1'600}};
    /// A ticket that expires within this time is not used: the order has to be
    /// stored and sent first, which takes about 10 ms.
    base::duration ticket_margin{std::chrono::milliseconds{60}};
    /// Maximum number of instances in one advice request.
    std::size_t advice_instances{100};
    /// Delay before an unanswered advice request is sent again.
    base::duration advice_retry{std::chrono::milliseconds{100}};
    /// An instance is quarantined after this many task failures without a
    /// success in between. A task that fails through its own fault rarely does
    /// so repeatedly on one instance.
    std::uint32_t failures_to_quarantine{3};
    base::duration quarantine{std::chrono::seconds{4}};
    /// A task is given up after this many instances have crashed just after
    /// they had started it. By then the task is almost certainly the cause,
    /// although any single crash may have another.
    std::uint32_t crashes_to_give_up{3};
    /// A task is also given up after this many instances were lost for any
    /// reason: most of its orders may have got no answer, or its instances may
    /// reappear at other addresses.
    std::uint32_t losses_to_give_up{5};
    /// If an instance crashes later than this after a start, the start was not
    /// the cause.
    base::duration start_work{std::chrono::milliseconds{500}};
    /// A task that has run for this long is not considered a cause of crashes.
    base::duration harmless_work{std::chrono::seconds{5}};
    /// The longest time from the sending of an unanswered request until an
    /// instance carries it out, as far as is known: the protocol gives no
    /// bound. A later life of an instance carries out what was sent to the
    /// former one.
    base::duration max_request_delay{std::chrono::seconds{12}};
    /// How long no task is placed on an instance after it rejected a start.
    base::duration turned_away_pause{std::chrono::milliseconds{500}};
    /// No start is sent to an instance whose entry in the endpoint list may be
    /// older than this: the instance may have lost capacity since. Instances
    /// write their entries with each heartbeat.
    base::duration max_entry_age{std::chrono::milliseconds{4'000}};
    /// A gang whose latest start is nearer than this preempts attempts that
    /// have time left and resume from a checkpoint; a stop takes up to 1 s.
    base::duration preempt_before{std::chrono::milliseconds{2'500}};
    /// Expected time until the resources of an attempt that is being stopped
    /// are free, including the report of its end.
    base::duration stop_takes{std::chrono::milliseconds{200}};
    /// Attempts of jobs with less slack than this are not preempted.
    base::duration preempt_slack{std::chrono::milliseconds{3'000}};
    /// How long before an instance leaves an attempt that can resume from a
    /// checkpoint is stopped there: a stop takes up to 1 s, and its end has to
    /// be reported.
    base::duration leave_before{std::chrono::milliseconds{1'500}};
    /// How long the status of a finished job is available.
    base::duration status_kept{std::chrono::seconds{120}};
    /// Cancellations of jobs that were not submitted are kept as long as the
    /// status of a finished job, up to this number: callers may cancel any id.
    std::size_t max_early_cancellations{10'000};
    /// Checkpoints with more bytes are not kept, and their tasks start from the
    /// beginning: the state of a task is a part of a record.
    std::size_t max_checkpoint_bytes{1'024};
    /// Number of tasks of the open occurrences of a job, beyond which no
    /// further one is opened before another is complete: a job that is due more
    /// often than the cell can run it must not use up the memory.
    std::size_t max_open_tasks{20'000};
    /// Bytes that all accepted work may take; see `work_room`. Every process
    /// that may own the work must have so much beside what it needs for itself.
    std::size_t max_work_bytes{std::size_t{80} * 1'024 * 1'024};
    record_layout layout{};
    /// The store takes no larger record.
    std::size_t max_record_bytes{262'144};

    friend bool operator==(policy const&, policy const&) = default;
};

/// Returns the longest time by the local clock that `it` takes by the clock of
/// an instance. Pure.
[[nodiscard]] inline base::duration longest_locally(base::duration it,
                                                    policy const& rules)
{
    return base::duration{static_cast<std::int64_t>(
        static_cast<double>(it.count()) / (1.0 - rules.slow_clock_share))};
}

} // namespace berylhill::scheduler
