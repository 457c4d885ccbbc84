#pragma once

#include <base/time.hpp>
#include <cell/job_call.hpp>

#include <functional>
#include <vector>

namespace berylhill::cell
{

/// A client whose answer waits for records to be stored.
struct batch_waiter
{
    job_answer_handler done;
    /// What it submitted; 0 where it did not.
    workload::job_id submitted;
    /// It is not kept longer.
    base::instant deadline;
};

/// The clients of an owner that wait for the store: some for the batch that is
/// being stored, the others for the next one. Decides who is told what; calls
/// no handler itself. Pure. Not thread-safe.
class batch_waiters
{
public:
    using list = std::vector<batch_waiter>;
    /// Takes a submission back and says whether it did.
    using withdraw_function = std::function<bool(workload::job_id)>;

    /// It waits for the next batch.
    void add(batch_waiter it);

    /// The next batch is sent: all that wait now wait for it. Precondition:
    /// none is being stored.
    void batch_sent();

    /// The batch is surely not stored: its clients wait for the next one.
    void batch_not_stored();

    /// The batch is stored; returns whose answer that is.
    [[nodiscard]] list batch_stored();

    /// Nothing has to be stored; returns those who wait for nothing.
    [[nodiscard]] list nothing_to_store();

    /// Takes back what was submitted and never sent to the store; returns all
    /// who wait for one of these submissions.
    [[nodiscard]] list refuse_unsent(withdraw_function const& withdraw);

    /// Returns those whose time is over.
    [[nodiscard]] list expire(base::instant now);

    /// Returns those whose batch was never sent, at the end of the owner.
    [[nodiscard]] list take_unsent();

    /// Returns those whose batch may be stored, at the end of the owner.
    [[nodiscard]] list take_sent();

private:
    list m_next;
    list m_sent;
};

} // namespace berylhill::cell
