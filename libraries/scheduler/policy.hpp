#pragma once

#include <base/time.hpp>

#include <cstdint>

namespace berylhill::scheduler
{

/// Times and limits of the decisions. A value; the bounds come from the
/// settings, the others have their reason here.
struct policy
{
    /// How far ahead a lease reaches. Long enough that work lives through a
    /// link that is cut for some seconds or a change of owner, short enough
    /// that the work of a dead instance is started again in time.
    base::duration lease{std::chrono::seconds{8}};
    /// How much slower than ours an instance's clock may run.
    double slow_clock_share{0.02};
    /// Added to a lapse, for rounding and for the instance's own timers.
    base::duration lapse_margin{std::chrono::milliseconds{300}};
    /// A former owner may renew leases until some instance refuses it; after
    /// a takeover its last renewals are taken to be this late.
    base::duration former_owner_margin{std::chrono::seconds{2}};
    /// How long an instance waits for an end before it answers a hold.
    base::duration hold_wait{std::chrono::milliseconds{1'000}};
    /// Until an order without an answer is sent again. An instance answers
    /// in a few milliseconds; doubled with each attempt up to the limit.
    base::duration order_retry{std::chrono::milliseconds{200}};
    base::duration order_retry_limit{std::chrono::milliseconds{1'600}};
    /// A ticket that ends sooner is not used: the order has to be stored and
    /// sent first, about 10 ms.
    base::duration ticket_margin{std::chrono::milliseconds{60}};
    /// How many instances one question for advice may name.
    std::size_t advice_instances{100};
    /// Until a question without an answer is asked again.
    base::duration advice_retry{std::chrono::milliseconds{100}};
    /// So many failures in a row, with no success between, take an instance
    /// out of use; a failure by a task's own fault rarely repeats there.
    std::uint32_t failures_to_quarantine{3};
    base::duration quarantine{std::chrono::seconds{4}};
    /// So many instances that crashed just after they had started a task make
    /// sure that the task is the cause, though now and then another was.
    std::uint32_t crashes_to_give_up{3};
    /// So many lost under it for whatever reason do too: most of its orders
    /// may have got no answer, or its instances may come back elsewhere.
    std::uint32_t losses_to_give_up{5};
    /// An instance that crashes later than this was not crashed by the start.
    base::duration start_work{std::chrono::milliseconds{500}};
    /// Work that was seen for so long crashes nothing.
    base::duration harmless_work{std::chrono::seconds{5}};
    /// An instance that turned an order away unread is left alone so long.
    base::duration turned_away_pause{std::chrono::milliseconds{500}};
    /// A gang whose latest start is nearer than this takes the place of work
    /// that can wait and that goes on from where it was stopped: a stop takes
    /// up to a second.
    base::duration preempt_before{std::chrono::milliseconds{2'500}};
    /// Until the room of an attempt that is being stopped is free: the stop and
    /// the way of its end.
    base::duration stop_takes{std::chrono::milliseconds{200}};
    /// Work that has less time than this left is not stopped for another's
    /// sake.
    base::duration preempt_slack{std::chrono::milliseconds{3'000}};
    /// An attempt that goes on from where it was stopped leaves an instance so
    /// long before this goes: a stop takes up to a second, and its end has to
    /// be read.
    base::duration leave_before{std::chrono::milliseconds{1'500}};
    /// How long the state of a finished job can be asked for.
    base::duration status_kept{std::chrono::seconds{120}};

    friend bool operator==(policy const&, policy const&) = default;
};

} // namespace berylhill::scheduler
