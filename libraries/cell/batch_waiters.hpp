#pragma once

#include <base/time.hpp>
#include <cell/job_call.hpp>

#include <functional>
#include <set>
#include <vector>

namespace berylhill::cell
{

/// A client whose answer depends on records that are not stored yet.
struct batch_waiter
{
    job_answer_handler done;
    /// The job that it submitted; 0 for other calls.
    workload::job_id submitted_job;
    /// When the client must be answered at the latest.
    base::instant deadline;
    /// The job that its call names.
    workload::job_id job{};
    /// The answer once the records are stored.
    job_answer_kind once_stored{job_answer_kind::accepted};
};

/// The clients of an owner that wait for the store, either for the batch that
/// is being stored or for the next one. Decides which answer each client gets;
/// calls no handler itself. Pure. Not thread-safe.
class batch_waiters
{
public:
    using list = std::vector<batch_waiter>;
    /// Withdraws a submission; returns whether it was withdrawn.
    using withdraw_function = std::function<bool(workload::job_id)>;

    /// Adds a client that waits for the next batch.
    void add(batch_waiter it);

    /// The next batch has been sent: all clients that wait for it now wait for
    /// its append. Precondition: no batch is being stored.
    void batch_sent();

    /// The append has certainly failed: its clients wait for the next batch.
    void batch_not_stored();

    /// The batch is stored; returns its clients.
    [[nodiscard]] list batch_stored();

    /// The records of these jobs were rejected; returns their clients, also
    /// those that wait for the next batch.
    [[nodiscard]] list rejected(std::set<workload::job_id> const& jobs);

    /// There is nothing to store; returns the clients that waited for the next
    /// batch.
    [[nodiscard]] list nothing_to_store();

    /// Withdraws the submissions that were never sent to the store; returns all
    /// clients that wait for one of them.
    [[nodiscard]] list refuse_unsent(withdraw_function const& withdraw);

    /// Returns the clients whose deadline has passed.
    [[nodiscard]] list expire(base::instant now);

    /// Returns the clients that wait for the next batch. A job that one of them
    /// submitted may be in an earlier batch, unless `refuse_unsent` has
    /// returned its clients before. Called when ownership ends.
    [[nodiscard]] list take_unsent();

    /// Returns the clients whose batch may be stored. Called when ownership
    /// ends.
    [[nodiscard]] list take_sent();

private:
    template <class Chosen>
    [[nodiscard]] list take_from_both(Chosen chosen);

    list m_next;
    list m_sent;
};

} // namespace berylhill::cell
