#pragma once

#include <scheduler/account_shares.hpp>
#include <scheduler/advice_budget.hpp>
#include <scheduler/decision_log.hpp>
#include <scheduler/gang_plan.hpp>
#include <scheduler/held_jobs.hpp>
#include <scheduler/instance_table.hpp>
#include <scheduler/job_table.hpp>
#include <scheduler/orders.hpp>
#include <scheduler/outcomes.hpp>
#include <scheduler/pending_batch.hpp>
#include <scheduler/placement.hpp>
#include <scheduler/policy.hpp>
#include <scheduler/presumed_end.hpp>
#include <scheduler/queue_table.hpp>
#include <scheduler/run_times.hpp>
#include <scheduler/start_place.hpp>
#include <scheduler/start_waits.hpp>
#include <scheduler/turn.hpp>
#include <scheduler/unconfirmed_losses.hpp>
#include <scheduler/work_room.hpp>
#include <workload/cell_configuration.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace berylhill::scheduler
{

/// Decides which task starts where, what has to be stored before an order is
/// sent, and how answers and time-outs are handled. It uses no clock, socket or
/// log file: the time is passed with each event, and the caller fetches orders
/// and records.
///
/// A start is sent only after its record is stored, and an end is acknowledged
/// to its instance only after it is stored. A successor that reads the log and
/// fences the instances therefore misses neither.
///
/// Not thread-safe.
class scheduler
{
public:
    scheduler(policy rules, decision_log& log, base::instant now);

    /// Restores a new scheduler from the newest records. Unreadable records are
    /// logged and skipped.
    void restore(std::map<std::string, std::string> const& records,
                 std::int64_t wall_ms,
                 base::instant now);

    void set_configuration(workload::cell_configuration const& it);

    /// Sets the owner's fencing token, for the log.
    void set_token(std::uint64_t it) noexcept
    {
        m_token = it;
    }

    /// This process certainly owned the work at that time; before the first
    /// call, when this object was created.
    void ownership_confirmed(base::instant at) noexcept
    {
        m_confirmed_at = at;
    }

    /// Whether this process may start tasks: it has certainly owned the work
    /// within `policy::ownership_lease`.
    [[nodiscard]] bool surely_owns(base::instant now) const
    {
        return now - m_confirmed_at <= m_rules.ownership_lease;
    }

    /// The client account of a job, empty if it has none; no value if the job
    /// is unknown.
    [[nodiscard]] std::optional<std::string>
    account_of(workload::job_id it) const;

    /// Whether the job is known and its submission has arrived.
    [[nodiscard]] bool submitted(workload::job_id it) const;

    void set_policy(policy it)
    {
        m_rules = it;
    }

    /// Sets how many machines can send advice requests now, one at a time each.
    void set_advice_machines(std::size_t n)
    {
        m_budget.set_machines(n);
    }

    // Calls of clients.

    /// Precondition: the job is valid and its queue is configured.
    submission
    submit(workload::job_spec it, std::int64_t wall_ms, base::instant now);
    /// Withdraws a submission of which nothing has been sent to the store; it
    /// never runs. Its cancellation is kept if there was one. Returns false if
    /// the submission may be stored.
    bool withdraw(workload::job_id it);
    /// `account` is the client account of the caller; empty if it has none.
    /// Precondition: it may use the job if that is known.
    cancellation
    cancel(workload::job_id it, std::string const& account, base::instant now);
    /// The stored phase; no value if no such job is stored.
    [[nodiscard]] std::optional<job_phase> phase_of(workload::job_id it) const;
    [[nodiscard]] std::size_t pending(std::string const& queue) const;

    // Events of instances and of the advice service.

    /// The instance's entry in the platform's endpoint list was not written
    /// before `written_after`; empty if it may be of any age.
    void instance_listed(instance_info it,
                         std::optional<base::instant> written_after,
                         base::instant now);
    /// The endpoint list has no entry for the instance `id`, whichever of its
    /// lives was listed.
    void instance_unlisted(std::string const& id, base::instant now);
    /// Another incarnation answers at the instance's address, so none of its
    /// attempts is running.
    void instance_replaced(std::string const& id, base::instant now);
    /// Whether requests may be sent to the instance and its reports matter. An
    /// entry of a service that no queue uses may belong to another system, at
    /// an address that must not be called, unless this one has sent work there.
    /// Precondition: the instance is known.
    [[nodiscard]] bool may_call(instance const& it, base::instant now) const;
    [[nodiscard]] hold_order next_hold(std::string const& id,
                                       base::instant now);
    /// How long the next hold request to the instance may be delayed, unless a
    /// start is sent to it.
    [[nodiscard]] base::duration hold_interval(std::string const& id) const;
    /// Returns the life of the instance that the report was taken for; nothing
    /// if it was ignored.
    std::optional<std::string> hold_answered(hold_report it);
    void hold_unanswered(std::string const& id, base::instant now);
    /// How far the ends that the instance has reported are stored.
    [[nodiscard]] reported_ends ends_of(std::string const& id) const;
    /// The connection that the request had to go over was closed, so nothing
    /// was sent; the next request acknowledges nothing.
    void hold_not_sent(std::string const& id, base::instant now);
    void start_answered(start_reply const& it, base::instant now);
    /// The order was decided and certainly not sent. It is sent again once
    /// `surely_owns`.
    void start_not_sent(start_order const& it, base::instant now);
    void stop_answered(std::string const& id,
                       attempt_name const& name,
                       stop_answer answer,
                       base::instant now);
    void advice_answered(workload::step_name const& of,
                         std::vector<std::string> const& asked,
                         std::vector<permission> const& allowed,
                         base::duration validity,
                         base::instant now);
    void advice_failed(workload::step_name const& of,
                       std::vector<std::string> const& asked,
                       base::instant now);

    // Driven by the process.

    /// Handles the passage of time: retries, expired leases and due occurrences
    /// of repeating jobs.
    void tick(std::int64_t wall_ms, base::instant now);
    /// Runs a scheduling round, which places tasks that can start. A round
    /// examines a bounded number of instances; if that does not suffice for all
    /// steps, the next one continues with the remaining steps, after a look at
    /// the most urgent ones. Does nothing unless `surely_owns`.
    void decide(base::instant now);
    /// Whether the last round reached the last step.
    [[nodiscard]] bool round_complete() const noexcept
    {
        return !m_resume_after;
    }
    /// Returns the orders decided since the last call.
    [[nodiscard]] std::vector<order> take_orders();
    /// Returns the records that have to be stored before the next orders and
    /// answers are released; empty if there are none. Precondition: the
    /// previous batch was reported as stored or as not stored.
    [[nodiscard]] std::vector<record> take_batch(base::instant now);
    /// The batch taken last is stored, but for the records of the rejected
    /// jobs. A submission of which nothing is stored is withdrawn; the other
    /// rejected jobs are held until the store takes their records.
    void batch_stored(base::instant now,
                      std::vector<rejected_job> const& rejected = {});
    /// The batch taken last is certainly not stored; its contents become part
    /// of the next one.
    void batch_not_stored();
    /// Whether there is anything to store in the next batch.
    [[nodiscard]] bool batch_pending() const noexcept;
    /// Whether starts, stops or finished jobs wait for the next batch.
    /// Otherwise it may be delayed by some milliseconds to collect more
    /// records.
    [[nodiscard]] bool batch_urgent() const noexcept
    {
        return !m_next_batch.starts.empty() || !m_next_batch.stops.empty() ||
               m_finished;
    }

    [[nodiscard]] scheduler_counts const& counts() const noexcept
    {
        return m_counts;
    }

    /// Number of listed instances that get no start because their entry in the
    /// endpoint list may be too old.
    [[nodiscard]] std::size_t outdated_instances(base::instant now) const;

    /// Number of listed instances whose last request was answered under the
    /// present owner's token.
    [[nodiscard]] std::size_t reachable_instances() const;

    [[nodiscard]] instance_table const& instances() const noexcept
    {
        return m_instances;
    }

    /// Number of jobs whose records the store rejects.
    [[nodiscard]] std::size_t held_jobs_count() const noexcept
    {
        return m_held.size();
    }

    [[nodiscard]] job_table const& jobs() const noexcept
    {
        return m_jobs;
    }

    /// What accepted work takes of the memory.
    [[nodiscard]] work_room room() const;

private:
    // scheduler_held.cpp
    void hold_rejected(pending_batch& batch,
                       std::vector<rejected_job> const& rejected,
                       base::instant now);
    void hold(job const& it, base::instant now);
    void hold_ends(pending_batch const& batch);
    void cancel_held_starts(pending_batch& batch, base::instant now);
    void withdraw_rejected(std::vector<rejected_job> const& rejected);
    void try_held_again(workload::job_id it);
    void try_due_held_jobs(base::instant now);
    void release_held(workload::job_id it);
    void acknowledge(std::string const& id, std::uint64_t last_end);

    // scheduler_instances.cpp
    [[nodiscard]] bool may_hold_work(instance const& it) const;
    void keep_address(instance_info& of) const;
    [[nodiscard]] bool is_ours(instance const& it) const;
    [[nodiscard]] std::vector<std::string>
    other_lives_of_ours(std::string const& than) const;

    // scheduler.cpp
    void update_expected_work(job& of) const;
    [[nodiscard]] static attempt attempt_of(job const& of,
                                            workload::step_name const& name);
    [[nodiscard]] task const* find_task(workload::task_name const& it) const;
    [[nodiscard]] bool any_attempt(workload::step_name const& of,
                                   step const& in) const;
    [[nodiscard]] bool within_cap(workload::job_spec const& it) const;
    bool forget_unsent(workload::job_id it);
    cancellation
    cancel_again(job const& of, std::string const& account, base::instant now);
    cancellation cancel_early(workload::job_id it,
                              std::string const& account,
                              base::instant now);

    // scheduler_restore.cpp
    void
    restore_spec(record_key const& key, record const& from, base::instant now);
    void
    restore_state(workload::job_id id, record const& from, base::instant now);
    void
    restore_part(record_key const& key, record const& from, base::instant now);
    void restore_queues();
    job& add_without_spec(workload::job_id id,
                          stored_status const& known,
                          base::instant now);
    void restore_status(job& of, stored_status const& known, base::instant now);
    [[nodiscard]] bool may_have_attempts(job const& of) const;
    void restore_progress(job& of, base::instant now);
    static void complete_gangs(job& of);
    static void open_missing_occurrences(job& of, base::instant now);
    void stop_remaining(job const& of, base::instant now);
    void inherit_attempts(job const& of, base::instant now);
    void report_unreadable(record const& it, base::failure const& why) const;

    // scheduler_ends.cpp
    void note_run_time(job const& of,
                       attempt_name const& name,
                       attempt const& it,
                       base::instant now);
    void attempt_ended(instance& at,
                       attempt_name const& name,
                       end_reason reason,
                       std::string const& checkpoint,
                       base::instant now);
    void task_done(job& of, step& in, task& it);
    static void gang_done(job& of, workload::step_name const& name);
    void task_failed(job& of,
                     attempt_name const& name,
                     step& in,
                     task& it,
                     base::instant now);
    void count_failure(job& of,
                       attempt_name const& name,
                       step& in,
                       task& it,
                       base::instant now);
    void task_waits(step& in, task& it);
    void stop_gang(workload::step_name const& of, step& in, base::instant now);
    void stop_current(workload::task_name const& of,
                      task const& it,
                      base::instant now);
    void after_change(job& of, base::instant now);
    void finish(job& of, job_phase phase, base::instant now);
    void stop_all(workload::job_id of, base::instant now);
    void want_stop(instance& at,
                   attempt_name const& name,
                   attempt& it,
                   base::instant now);
    void keep_checkpoint(attempt_name const& name,
                         task& it,
                         std::string const& saved);
    void note_health(instance& at, end_reason reason, base::instant now);
    void read_report(instance& at, hold_report const& it);
    void read_running(instance& at, hold_report const& it);
    void read_ended(instance& at, hold_report const& it);
    void rest_if_crowded(instance& at, hold_report const& it);
    void drop_missing(instance& at, hold_report const& it);
    void note_begun(workload::job_id of);
    [[nodiscard]] std::uint32_t attempts_allowed(job const& of) const;

    // scheduler_losses.cpp
    void count_end(attempt_name const& name,
                   task& it,
                   std::string const& on,
                   ended_attempt const& end,
                   base::instant now);
    void instance_alive(std::string const& id,
                        base::instant alive_at,
                        char const* shown_by);
    void restore_losses(job const& of, base::instant now);
    void forget_losses(workload::job_id of);
    void report_lost(instance const& at,
                     attempt_name const& name,
                     attempt const& it,
                     end_reason reason,
                     base::instant now) const;
    void presume_ended(instance& at,
                       attempt_name const& name,
                       end_reason reason,
                       base::instant now);
    void report_restart(attempt_name const& name,
                        std::string const& on,
                        base::instant now);
    [[nodiscard]] double confirmed_s(base::instant now) const;
    void give_up(job& of,
                 attempt_name const& name,
                 task const& it,
                 base::instant now);
    void end_sent_attempts(instance& at, end_reason reason, base::instant now);

    // scheduler_lives.cpp
    [[nodiscard]] std::optional<std::string>
    life_reported(hold_report const& it);
    [[nodiscard]] base::instant late_lease_end(base::instant now) const;
    void expect_later_life(instance& former, base::instant now) const;
    [[nodiscard]] bool same_connection(std::string const& former,
                                       hold_report const& by);
    void retire_former_lives(instance& later, hold_report const& by);
    void move_open_orders(instance& from, instance& to, hold_report const& by);
    void
    stop_open_orders(instance const& from, instance& to, base::instant now);
    void rename_place(attempt_name const& name,
                      std::string const& from,
                      std::string const& to);
    void note_crash(attempt_name const& name,
                    bool began,
                    base::duration worked,
                    base::instant now);

    // scheduler_unexpected.cpp
    void
    add_stray(instance& at, attempt_name const& name, hold_report const& from);
    void unexpected_attempt_ended(job& of,
                                  attempt_name const& name,
                                  end_reason reason,
                                  base::instant now);
    void release_current(job& of,
                         workload::task_name const& name,
                         base::instant now);
    void report_unexpected_end(instance const& at,
                               attempt_name const& name,
                               end_reason reason,
                               task const& it) const;

    // scheduler_answers.cpp
    void refused(instance& at,
                 start_reply const& reply,
                 attempt& it,
                 base::instant now);
    void report_sends(base::log_level level,
                      char const* event,
                      instance const& at,
                      attempt_name const& name,
                      attempt const& it,
                      base::instant now) const;

    // scheduler_orders.cpp
    static void acknowledge_ends(instance const& at, hold_order& in);
    [[nodiscard]] base::instant lease_begin(base::instant now) const;
    void retry(instance& at, base::instant now);
    void send_again(instance& at,
                    attempt_name const& name,
                    attempt& it,
                    base::instant now);
    void release_start(start_order it, base::instant now);
    [[nodiscard]] bool may_start(instance const& at,
                                 attempt_name const& name,
                                 attempt const& it,
                                 base::instant now) const;
    [[nodiscard]] start_place place_now(instance const& at,
                                        workload::step_name const& of) const;
    void report_withheld(instance const& at,
                         attempt_name const& name,
                         attempt const& it,
                         base::instant now) const;
    void open_due_occurrences(std::int64_t wall_ms, base::instant now);

    // scheduler_leave.cpp
    void leave_instances(base::instant now);
    [[nodiscard]] bool should_leave(attempt const& it,
                                    job const& of,
                                    workload::step_spec const& spec,
                                    base::duration stays,
                                    base::instant now) const;
    [[nodiscard]] base::duration time_left(attempt const& it,
                                           job const& of,
                                           workload::step_spec const& spec,
                                           base::instant now) const;

    // scheduler_rounds.cpp
    using turn_iterator = std::vector<turn>::const_iterator;
    [[nodiscard]] std::vector<turn> turns(base::instant now);
    void note_ready(job const& of,
                    workload::step_name const& name,
                    step& in,
                    base::instant now);
    void note_wait(job const& of, step& in, base::instant now);
    void decide_urgent(turn_iterator from, turn_iterator to, base::instant now);
    void decide_step(turn const& it, base::instant now);

    // scheduler_decide.cpp
    void decide_gang(job& of,
                     turn const& it,
                     std::vector<candidate> const& from,
                     base::instant now);
    [[nodiscard]] std::uint32_t account_room(job& of, turn const& it);
    void report_at_cap(job const& of, turn const& it, base::instant now);
    void report_waiting_tasks(turn const& it,
                              workload::step_spec const& spec,
                              step& in,
                              std::size_t candidates,
                              base::instant now);
    void decide_tasks(job& of,
                      turn const& it,
                      std::uint32_t most,
                      std::vector<candidate> const& from,
                      base::instant now);

    // scheduler_gang_plan.cpp
    void reserve_room(job& of, turn const& it, base::instant now);
    void report_waiting_gang(turn const& it,
                             workload::step_spec const& spec,
                             step& in,
                             base::instant now);
    void plan(job& of, turn const& it, step& in, base::instant now);
    [[nodiscard]] std::vector<std::shared_ptr<instance>> usable_later(
        job& of, workload::step_name const& name, base::instant now) const;
    [[nodiscard]] room_forecast forecast_room(instance const& at,
                                              base::instant now) const;

    // scheduler_preempt.cpp
    struct offer;
    bool preempt(job& of, turn const& it, base::instant now);
    [[nodiscard]] offer
    offer_of(instance& at, std::int32_t priority, base::instant now);
    [[nodiscard]] bool is_preemptible(attempt_name const& name,
                                      std::int32_t than,
                                      base::instant now);
    [[nodiscard]] workload::queue_spec const* queue_of(job const& it) const;
    [[nodiscard]] bool eligible(instance const& it,
                                workload::step_spec const& spec,
                                workload::queue_spec const& queue,
                                base::instant now) const;
    void place(job& of,
               workload::task_name const& name,
               std::string const& on,
               std::uint32_t run,
               base::instant now);
    [[nodiscard]] std::vector<candidate>
    candidates(job& of,
               workload::step_name const& name,
               workload::queue_spec const& queue,
               base::instant now) const;
    [[nodiscard]] candidate candidate_of(instance const& it,
                                         workload::step_name const& name,
                                         workload::step_spec const& spec,
                                         fit by) const;
    [[nodiscard]] static fit fit_for(step const& in);
    [[nodiscard]] bool available_for(instance const& it,
                                     workload::step_spec const& spec,
                                     base::instant now) const;

    // scheduler_advice.cpp
    [[nodiscard]] bool holds(advice_state::ticket const& it,
                             base::instant now) const;
    [[nodiscard]] double& allowed_share(std::string const& queue);
    [[nodiscard]] std::size_t
    max_named(workload::step_spec const& spec,
              workload::queue_spec const& queue) const;
    [[nodiscard]] std::uint32_t slots_allowed(job& of,
                                              workload::step_name const& name,
                                              workload::queue_spec const& queue,
                                              base::instant now) const;
    [[nodiscard]] std::vector<instance const*>
    instances_to_ask_for_tasks(job& of,
                               workload::step_name const& name,
                               workload::queue_spec const& queue,
                               base::instant now);
    [[nodiscard]] std::vector<instance const*>
    instances_to_ask_for_gang(job& of,
                              turn const& at,
                              workload::queue_spec const& queue,
                              base::instant now);
    [[nodiscard]] std::vector<instance const*>
    unasked_instances(job& of,
                      workload::step_name const& name,
                      workload::queue_spec const& queue,
                      base::instant now);
    [[nodiscard]] std::vector<instance const*>
    expiring_tickets(step const& in, base::instant now) const;
    [[nodiscard]] std::vector<instance const*>
    first_instances_to_ask(job& of,
                           workload::step_name const& name,
                           workload::queue_spec const& queue,
                           base::instant now);
    [[nodiscard]] bool may_allow(instance const& it,
                                 workload::step_spec const& spec,
                                 workload::queue_spec const& queue,
                                 advice_state const& known,
                                 base::instant now) const;
    void ask_advice(job& of,
                    turn const& at,
                    workload::queue_spec const& queue,
                    base::instant now);
    void advice_request_ended(advice_state& known,
                              std::vector<std::string> const& asked);
    void send_advice_request(advice_state& known,
                             turn const& at,
                             workload::queue_spec const& queue,
                             std::vector<instance const*> const& named,
                             base::instant now);

    /// Maximum number of suitable instances that are examined for an advice
    /// request. In a cell of thousands of instances, the best of this many is
    /// as good as the best of all and avoids a scan of the whole cell for each
    /// request.
    static constexpr std::size_t max_examined = 600;

    policy m_rules;
    decision_log* m_log;
    std::uint64_t m_token{0};
    /// When this object was created. Former owners may have sent orders until
    /// shortly after.
    base::instant m_since;
    /// The latest time at which this process certainly owned the work.
    base::instant m_confirmed_at;
    /// The last attempts of waiting tasks, if no instance reported their ends.
    std::map<workload::task_name, presumed_end> m_presumed_ends;
    unconfirmed_losses m_unconfirmed_losses;
    queue_table m_queues;
    /// Milliseconds since 1970 at the last event that passed the time of day.
    std::int64_t m_wall_ms{0};
    instance_table m_instances;
    account_shares m_shares;
    job_table m_jobs;
    std::vector<order> m_orders;
    held_jobs m_held;
    pending_batch m_next_batch;
    std::optional<pending_batch> m_in_flight;
    /// A job has finished since the last batch.
    bool m_finished{false};
    /// Number of instances reserved for waiting gangs in this round.
    std::size_t m_kept_free{0};
    /// Number of scheduling rounds; a round that continues the previous one is
    /// not counted.
    std::uint64_t m_round{0};
    /// The last step handled by a round that did not reach the last step.
    std::optional<turn> m_resume_after;
    /// Number of instances examined in this round.
    std::size_t m_examined{0};
    /// Whether a late gang has reserved instances in this round.
    bool m_late_reserving{false};
    /// By queue: the share of instances that its advice policy allows.
    std::map<std::string, double> m_allowed_shares;
    base::instant m_next_leave_look{};
    advice_budget m_budget;
    run_times m_run_times;
    start_waits m_waits;
    /// Client accounts whose remaining cap is reserved for one of their gangs
    /// in this round, and that gang.
    std::map<std::string, workload::step_name, std::less<>> m_reserved_accounts;
    /// By account: when the log may next report that it is at its cap.
    std::map<std::string, base::instant> m_cap_reports;
    /// When the log may next tell what a step of single tasks waits for.
    base::instant m_next_wait_report{};
    scheduler_counts m_counts;
};

} // namespace berylhill::scheduler
