#pragma once

#include <placement/failure_history.hpp>
#include <placement/hold.hpp>
#include <placement/ledger_action.hpp>
#include <placement/overuse.hpp>
#include <placement/policy.hpp>
#include <placement/worker_health.hpp>

#include <model/endpoint.hpp>
#include <platform/worker_link.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace berylhill::placement
{

/// A start to send to a worker; the sender fills in `start.lease_until`.
struct start_order
{
    std::string worker;
    platform::task_start start;

    friend bool operator==(start_order const&, start_order const&) = default;
};

/// The answer to a hold request, and the actions it requires.
struct hold_result
{
    hold_answer answer;
    std::vector<ledger_action> actions;
};

/// State of one worker, for status pages and tests.
struct worker_summary
{
    std::string worker;
    model::resources capacity;
    /// Sum of the planned resources of held and running tasks.
    model::resources planned;
    /// The same sum, with the observed peak of a task where it exceeds the
    /// plan.
    model::resources charged;
    std::int32_t tasks{0};
    health state{health::good};
    bool leaving{false};
};

/// The allocation state of one group of workers, kept by the group's owner. It
/// alone accounts for the workers' capacity: a worker starts every task that it
/// is sent, even if the task does not fit. Has no side effects; not
/// thread-safe. Every event takes the instant at which it happens, and instants
/// must not decrease.
///
/// Invariant: a hold is granted only where the planned resources and observed
/// peaks of all held and running tasks leave enough capacity for it.
class group_ledger
{
public:
    group_ledger(std::string group, std::string zone, std::string rack);

    /// Adds or updates a worker. A leaving worker gets no new tasks.
    void set_worker(model::endpoint const& it, base::instant now);

    /// Removes a worker that is no longer on the platform's endpoint list.
    /// Returns the attempts that were held or running there; they are lost.
    std::vector<model::attempt_id> remove_worker(std::string const& worker);

    /// Sets whether the worker fails to answer. An unresponsive worker gets no
    /// new tasks, and its tasks stay accounted for.
    void set_unresponsive(std::string const& worker, bool is_unresponsive);

    /// The share of attempts that fail in the whole cell, 0 to 1.
    void set_cell_failure_rate(double rate);

    /// Allocates resources for an attempt until `expires_at`. Idempotent: a
    /// repeated request is answered with `repeated`.
    hold_result hold(hold_request const& request,
                     base::instant expires_at,
                     base::instant now);

    /// Commits a hold and returns the start to send. Empty when the hold has
    /// expired or was never granted; no start may be sent then.
    std::optional<start_order> commit(model::attempt_id const& attempt,
                                      base::instant now);

    /// Releases a hold at once. A started attempt is asked to stop, and its
    /// resources stay allocated until the worker reports its end.
    std::vector<ledger_action> release(model::attempt_id const& attempt,
                                       base::instant now);

    /// Changes the planned resources of an attempt. They grow only as far as
    /// its worker has free capacity.
    void resize(model::attempt_id const& attempt, model::resources const& need);

    /// Accounts for an attempt that already runs, as found when the owner takes
    /// the group over, whether it fits or not.
    void adopt(std::string const& worker,
               platform::running_task const& task,
               base::instant now);

    /// The attempt has ended, or was never started. Unknown attempts are
    /// ignored, since ends are sent again until acknowledged.
    void on_finished(model::attempt_id const& attempt,
                     model::task_end end,
                     base::instant now);

    /// Applies a worker's report of its running tasks. Attempts in
    /// `late_starts`, which may still be started, are kept though they are not
    /// reported. Precondition: the ends in the same answer were passed to
    /// `on_finished` first, and answers are applied in the order of the
    /// exchanges.
    std::vector<ledger_action>
    on_report(std::string const& worker,
              std::vector<platform::running_task> const& running,
              base::instant now,
              std::set<model::attempt_id> const& late_starts = {});

    /// Removes expired holds and returns them.
    std::vector<model::attempt_id> expire_holds(base::instant now);

    /// Reserves the group for one job until `until`: tasks of other jobs are
    /// admitted only if they are urgent or expected to end by `frees_at`. False
    /// when the group is reserved for another job.
    bool reserve(std::string const& job,
                 base::instant frees_at,
                 base::instant until,
                 base::instant now);
    void unreserve(std::string const& job);

    [[nodiscard]] group_digest digest() const;
    [[nodiscard]] std::vector<worker_summary> worker_summaries() const;
    /// The worker that holds or runs the attempt; empty for none.
    [[nodiscard]] std::string worker_of(model::attempt_id const& attempt) const;

private:
    enum class allocation_phase : std::uint8_t
    {
        held,
        committed,
        running,
        stopping,
    };

    struct task_state
    {
        hold_request request;
        std::string worker;
        allocation_phase phase{allocation_phase::held};
        model::resources peak;
        model::resources used;
        base::instant since{};
        base::instant expires_at{};
        bool throttled{false};
        bool adopted{false};
        bool checkpointing{false};

        [[nodiscard]] model::resources charge() const
        {
            return model::largest_of(request.need, peak);
        }
    };

    /// Capacity of a worker that preemption is freeing for one attempt.
    struct claim
    {
        model::attempt_id attempt;
        model::resources need;
        base::instant expires_at{};
    };

    struct worker_state
    {
        model::endpoint listed;
        bool unresponsive{false};
        model::resources charged;
        worker_health health_state;
        std::optional<claim> claimed;
        std::set<model::attempt_id> tasks;
    };

    struct reservation
    {
        std::string job;
        base::instant frees_at{};
        base::instant until{};
    };

    [[nodiscard]] static bool accepts_tasks(worker_state const& it);
    [[nodiscard]] static model::resources
    free_for(worker_state const& it, model::attempt_id const& attempt);
    [[nodiscard]] bool reserved_for_other(hold_request const& request,
                                          base::instant now) const;
    [[nodiscard]] worker_state* best_worker(hold_request const& request);
    [[nodiscard]] candidate candidate_of(worker_state const& it,
                                         hold_request const& request) const;
    [[nodiscard]] bool fits_empty_worker(model::resources const& need) const;
    hold_result preempt_for(hold_request const& request, base::instant now);
    [[nodiscard]] std::vector<model::attempt_id>
    victims_on(worker_state const& it, hold_request const& request) const;
    void place(worker_state& it, task_state placed);
    void erase(model::attempt_id const& attempt);
    void update_usage(task_state& it, model::resources const& used);
    void advance_time(base::instant now);
    std::vector<ledger_action> act_on_overuse(worker_state& it);

    std::string m_group;
    std::string m_zone;
    std::string m_rack;
    double m_cell_failure_rate{0.02};
    std::map<std::string, worker_state> m_workers;
    std::map<model::attempt_id, task_state> m_tasks;
    failure_history m_history;
    std::optional<reservation> m_reservation;
    std::int32_t m_ended{0};
    std::int32_t m_failed{0};
};

} // namespace berylhill::placement
