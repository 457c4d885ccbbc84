#pragma once

#include <base/time.hpp>
#include <workload/task_name.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace berylhill::scheduler
{

/// Identifies one attempt, that is, one start of a task. A value.
struct attempt_name
{
    workload::task_name task;
    /// Increases with each start of the task; members of a gang share it.
    std::uint32_t run{0};

    friend auto operator<=>(attempt_name const&, attempt_name const&) = default;
};

/// An order to start a task on an instance. A value.
struct start_order
{
    std::string instance;
    attempt_name attempt;
    std::string payload;
    /// The checkpoint to resume from; empty to start from the beginning.
    std::string checkpoint;
    /// The advice service's permission to start there; may be empty.
    std::string ticket;
    /// The end of the lease on the instance's own clock, in milliseconds.
    std::int64_t until_ms{0};
    /// Number of this order among those sent for the attempt; the first is 1.
    std::uint32_t send{0};

    friend bool operator==(start_order const&, start_order const&) = default;
};

/// An order to stop an attempt, whether or not it has begun. A value.
struct stop_order
{
    std::string instance;
    attempt_name attempt;

    friend bool operator==(stop_order const&, stop_order const&) = default;
};

/// A request to the advice service that asks which of the instances may run a
/// step. A value.
struct advice_order
{
    workload::step_name step;
    std::vector<std::string> instances;
    /// How long the service is expected to process the request.
    base::duration expected{0};
    /// The latest time at which the answer is useful for a step that is to be
    /// in time.
    base::instant needed_by{};
    /// The step is no longer urgent: its job is late or beyond its account's
    /// share.
    bool late{false};

    friend bool operator==(advice_order const&, advice_order const&) = default;
};

/// A request to renew the lease of an instance and report what runs there. A
/// value.
struct hold_order
{
    std::string instance;
    /// Ends up to this number are stored and may be deleted by the instance; 0
    /// if none are acknowledged.
    std::uint64_t seen_end{0};
    /// The only connection that the request may be sent over, which ends at the
    /// life that counted the acknowledged ends; 0 if any may be used.
    std::uint64_t connection{0};
    /// End of the lease in milliseconds on the instance's clock; 0 if no lease
    /// is granted.
    std::int64_t until_ms{0};
    /// How long the instance may wait for an attempt to end before it answers.
    base::duration wait{0};

    friend bool operator==(hold_order const&, hold_order const&) = default;
};

using order = std::variant<start_order, stop_order, advice_order>;

/// The outcome of a start order.
enum class start_answer : std::uint8_t
{
    running,
    /// The instance has received orders of a newer owner.
    fenced,
    /// This run or a later one was already stopped or has ended on the
    /// instance.
    outdated,
    /// The lease had expired when the order was read.
    lease_passed,
    no_room,
    no_ticket,
    /// The instance rejected the order without reading it.
    turned_away,
    /// Another incarnation of the instance answers at the address.
    other_incarnation,
    invalid,
    /// No answer was received: the order may be carried out at any time.
    unanswered,
};

/// The name of the answer for log lines.
[[nodiscard]] char const* name_of(start_answer it);

/// Whether the answer to an order holds for every earlier one of the same
/// attempt too, whenever that is carried out. The other rejections may no
/// longer hold then.
[[nodiscard]] bool settles_earlier_orders(start_answer it);

/// The answer to one start order. A value.
struct start_reply
{
    std::string instance;
    attempt_name attempt;
    /// The number of the order that was answered.
    std::uint32_t send{0};
    start_answer answer{start_answer::unanswered};
    /// The instance's clock in milliseconds; 0 if the answer did not contain
    /// it.
    std::int64_t clock_ms{0};

    friend bool operator==(start_reply const&, start_reply const&) = default;
};

/// The outcome of a stop order.
enum class stop_answer : std::uint8_t
{
    /// The attempt is being stopped, or can no longer begin.
    accepted,
    /// The instance rejected the order.
    rejected,
    /// No answer was received: the order may be carried out at any time.
    unanswered,
};

/// How an attempt ended.
enum class end_reason : std::uint8_t
{
    done,
    failed,
    stopped,
    lease_lapsed,
    /// Another member of the gang ended. Written as `broken`.
    gang_member_ended,
    /// The other members of the gang did not start in time. Written as `alone`.
    gang_incomplete,
    /// Another incarnation answers at the address of the instance, which had
    /// not announced that it leaves, or not so early. This value and the next
    /// two are set by the owner, never reported by an instance.
    instance_crashed,
    /// As `instance_crashed`, for an instance that had announced that it
    /// leaves by then.
    instance_left,
    /// The instance did not answer until its lease had expired.
    instance_silent,
};

/// The name of the reason for log lines.
[[nodiscard]] char const* name_of(end_reason it);

/// An attempt that runs on an instance, as reported. A value.
struct running_attempt_report
{
    attempt_name attempt;
    std::string checkpoint;
    /// Progress, 0 to 100.
    int percent{0};

    friend bool operator==(running_attempt_report const&,
                           running_attempt_report const&) = default;
};

/// An attempt that has ended on an instance, as reported. A value.
struct ended_attempt_report
{
    std::uint64_t number{0};
    attempt_name attempt;
    end_reason reason{end_reason::done};
    std::string checkpoint;

    friend bool operator==(ended_attempt_report const&,
                           ended_attempt_report const&) = default;
};

/// An instance's report of its attempts. A value.
struct hold_report
{
    std::string instance;
    /// When the request was sent and the answer was read, on the local clock.
    base::instant sent_at;
    base::instant read_at;
    /// The instance's own clock, in milliseconds.
    std::int64_t clock_ms{0};
    std::vector<running_attempt_report> running;
    std::vector<ended_attempt_report> ended;
    /// When the reporting life of the instance started, in milliseconds since
    /// 1970; 0 if the report does not tell.
    std::int64_t born_ms{0};
    /// The connection that the report came over; 0 if it is closed.
    std::uint64_t connection{0};
    /// `hold_order::seen_end` of the request.
    std::uint64_t acknowledged{0};
};

/// An instance that the advice service allows, with its ticket. A value.
struct permission
{
    std::string instance;
    std::string ticket;

    friend bool operator==(permission const&, permission const&) = default;
};

} // namespace berylhill::scheduler
