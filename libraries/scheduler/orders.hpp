#pragma once

#include <base/time.hpp>
#include <workload/task_name.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace berylhill::scheduler
{

/// One start of a task. A value.
struct attempt_name
{
    workload::task_name task;
    /// Rises with each start of the task; members of a gang share it.
    std::uint32_t run{0};

    friend auto operator<=>(attempt_name const&, attempt_name const&) = default;
};

/// Start a task on an instance. A value.
struct start_order
{
    std::string instance;
    attempt_name attempt;
    std::string payload;
    /// Where to go on from; empty: from the beginning.
    std::string checkpoint;
    /// Leave to start there, from the advice service; may be empty.
    std::string ticket;
    /// The end of the lease on the instance's own clock, milliseconds.
    std::int64_t until_ms{0};

    friend bool operator==(start_order const&, start_order const&) = default;
};

/// Stop an attempt, whether or not it has begun. A value.
struct stop_order
{
    std::string instance;
    attempt_name attempt;

    friend bool operator==(stop_order const&, stop_order const&) = default;
};

/// Ask which of these instances may run a step. A value.
struct advice_order
{
    workload::step_name step;
    std::vector<std::string> instances;
    /// How long the service needs for it.
    base::duration expected{0};
    /// When the step has to start to be in time.
    base::instant needed_by{};
    /// Its job can no longer be in time.
    bool late{false};

    friend bool operator==(advice_order const&, advice_order const&) = default;
};

/// Renew the lease of an instance and ask what runs there. A value.
struct hold_order
{
    std::string instance;
    /// Ends up to this number are stored and may be forgotten.
    std::uint64_t seen_end{0};
    /// 0: no lease is asked for.
    std::int64_t until_ms{0};
    /// How long the instance may wait for an end before it answers.
    base::duration wait{0};

    friend bool operator==(hold_order const&, hold_order const&) = default;
};

using order = std::variant<start_order, stop_order, advice_order>;

/// How an instance answered a start.
enum class start_answer : std::uint8_t
{
    running,
    /// A newer owner has been here.
    fenced,
    /// This run, or a later one, was stopped or has ended here.
    outdated,
    /// The lease had passed when the order was read.
    lease_passed,
    no_room,
    no_ticket,
    /// The instance turned the order away unread.
    turned_away,
    /// Another life of the instance answers at the address.
    other_incarnation,
    invalid,
    /// Nothing is known: it may be carried out at any time.
    unanswered,
};

/// How an attempt ended.
enum class end_reason : std::uint8_t
{
    done,
    failed,
    stopped,
    lease_lapsed,
    /// Another member of the gang ended.
    gang_member_ended,
    /// The other members of the gang did not come.
    gang_incomplete,
    /// Another life answers at the address of its instance, which had not said
    /// that it leaves. No instance reports this or the next two.
    instance_crashed,
    /// The same, of an instance that had said that it leaves.
    instance_left,
    /// Its instance gave no answer until its lease had lapsed.
    instance_silent,
};

/// An attempt that runs on an instance. A value.
struct running_row
{
    attempt_name attempt;
    std::string checkpoint;
    /// Progress, 0 to 100.
    int percent{0};

    friend bool operator==(running_row const&, running_row const&) = default;
};

/// An attempt that has ended on an instance. A value.
struct ended_row
{
    std::uint64_t number{0};
    attempt_name attempt;
    end_reason reason{end_reason::done};
    std::string checkpoint;

    friend bool operator==(ended_row const&, ended_row const&) = default;
};

/// What an instance said of itself. A value.
struct hold_report
{
    std::string instance;
    /// When the question was sent and the answer read, on our clock.
    base::instant sent_at;
    base::instant read_at;
    /// The instance's own clock, milliseconds.
    std::int64_t clock_ms{0};
    std::vector<running_row> running;
    std::vector<ended_row> ended;
};

/// What the advice service said of one instance. A value.
struct permission
{
    std::string instance;
    std::string ticket;

    friend bool operator==(permission const&, permission const&) = default;
};

} // namespace berylhill::scheduler
