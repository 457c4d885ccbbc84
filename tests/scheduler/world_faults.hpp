#pragma once

#include <cstdint>

namespace berylhill::scheduler_test
{

/// A safeguard that a run removes, to see that the checks detect the resulting
/// violation.
enum class planted : std::uint8_t
{
    nothing,
    /// A batch counts as stored when it is sent.
    believe_unstored,
    /// Instances accept orders with any token.
    no_fence,
    /// Leases are assumed to have expired long before they have.
    no_wait_for_lapse,
    /// A report counts as requested when it was read.
    trust_old_reports,
    /// Appends are not conditional: former owners can still write.
    append_anywhere,
    /// Of two clients that submit one job only the first is rejected.
    refuse_one_client,
    /// Client accounts have no cap.
    no_caps,
    /// A task restarts however many instances are lost under it.
    never_give_up,
    /// A task is given up after the first instance lost under it.
    give_up_at_once,
    /// Owners are not told about changes of capacity.
    trust_old_capacity,
    /// The rejection of one order counts for all awaited ones of the attempt.
    reject_all_sends,
    /// An order without an answer counts as rejected.
    believe_timeouts,
    /// An attempt counts as stopped when the stop is sent.
    believe_sent_stops,
    /// An entry of the endpoint list counts as written when it is read.
    trust_read_entries,
    /// An entry of the endpoint list is valid however old it is.
    trust_old_entries,
    /// The ends of runs that the owner does not expect are acknowledged and
    /// their outcome is lost.
    lose_unexpected_ends,
    /// Any number of tasks of a step may be placed on one instance.
    ignore_step_bounds,
    /// Tasks may be placed on instances without the label they require.
    ignore_labels,
    /// Owners are not told that a queue has moved to another service.
    trust_old_services,
    /// Reports do not tell which life of an instance they are from.
    hide_births,
    /// Some parts of partitioned states are not written.
    forget_parts,
    /// The head of a partitioned state counts one occurrence too many as
    /// complete.
    count_complete_too_high,
    /// In a batch, records are deleted before others are written.
    delete_before_writing,
    /// Rejected records count as stored.
    believe_rejected,
    /// A rejection counts as no answer: the batch is appended again.
    repeat_rejected,
    /// Owners act as if the store confirmed them all the time.
    always_confirmed,
};

/// The failure rates of a run.
struct fault_rates
{
    /// Probabilities that the request or answer of an order is lost, and that
    /// an order is carried out seconds late.
    double lose{0.04};
    double late{0.03};
    /// Probabilities per tenth of a second.
    double owner_change{0.02};
    double crash{0.01};
    double cut{0.015};
    double store_down{0.01};
    /// Instances that announce that they leave.
    double drain{0};
    /// Former owners that are suspended for seconds after a takeover and then
    /// resume as if they still were the owner.
    double freeze{0};
    /// Unanswered appends that the store carries out up to 6 s later.
    double late_append{0};
    /// Submissions whose call is repeated while the first one waits.
    double twice{0};
    /// Jobs that are cancelled within their first second.
    double cancel_new{0};
    /// Jobs of a client account with a cap that changes.
    double capped{0};
    /// Jobs with a task that crashes each instance that starts it.
    double crashers{0};
    /// Instances whose capacity changes.
    double resize{0};
    /// Healthy instances that reject a share of their requests for seconds.
    double reject{0};
    /// Spells of seconds in which most orders are delayed or get no answer and
    /// are carried out up to 12 s later.
    double late_spell{0};
    /// Hold requests without an answer that are carried out up to 12 s later.
    double late_hold{0};
    /// Reports after which the next hold request is sent only seconds later, as
    /// while the store is slow.
    double long_rest{0};
    /// The store becomes unavailable for seconds while instances shrink. With
    /// this, owners read the endpoint list from the store, where instances
    /// write with each heartbeat.
    double outage{0};
    /// Queues that move to another service. With this, instances of two kinds
    /// serve two services, and some steps require a kind or allow only one or
    /// two of their tasks on an instance.
    double move_queue{0};
    /// Instances that crash and start again under their id, with another
    /// birth, clock and count of ends. Requests to the former life are carried
    /// out by the later one.
    double reborn{0};
    /// Batches of which the store takes a beginning, and the rest later or, if
    /// the owner is replaced in between, never. With this, nearly all states
    /// are partitioned, and a share of the jobs is repeated.
    double cut_batch{0};
    /// Jobs whose records the store rejects for some time; some until the end.
    double reject_records{0};
    /// Former owners that are cut off from the store together with a half of
    /// the instances, which the new owner does not reach. With this, leases are
    /// shorter than many of the cuts, and some tasks are longer than leases.
    double island{0};
};

} // namespace berylhill::scheduler_test
