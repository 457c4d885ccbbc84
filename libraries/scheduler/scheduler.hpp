#pragma once

#include <scheduler/account_shares.hpp>
#include <scheduler/advice_budget.hpp>
#include <scheduler/decision_log.hpp>
#include <scheduler/gang_plan.hpp>
#include <scheduler/instance_book.hpp>
#include <scheduler/job_book.hpp>
#include <scheduler/orders.hpp>
#include <scheduler/outcomes.hpp>
#include <scheduler/placement.hpp>
#include <scheduler/policy.hpp>
#include <scheduler/run_times.hpp>
#include <scheduler/start_waits.hpp>
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

/// The owner's decisions: which task starts where, what is stored before it
/// leaves, what an answer or a silence means. It knows no clock, socket or
/// log: time comes with each event, orders and records are fetched.
///
/// A start leaves only after the record that names it is stored, and an end
/// is acknowledged to its instance only after it is stored; so a successor
/// that reads the log and fences the instances misses neither.
///
/// Not thread-safe.
class scheduler
{
public:
    scheduler(policy rules, decision_log& log, base::instant now);

    /// Fills a new scheduler from the newest records. Unreadable ones are
    /// logged and left out.
    void restore(std::map<std::string, std::string> const& records,
                 std::int64_t wall_ms,
                 base::instant now);

    void set_configuration(workload::cell_configuration const& it);

    /// The client account of a job, empty where it has none; nothing where no
    /// such job is known.
    [[nodiscard]] std::optional<std::string>
    account_of(workload::job_id it) const;

    void set_rules(policy it)
    {
        m_rules = it;
    }

    /// How many machines can ask for advice now, each one question at a time.
    void set_advice_machines(std::size_t n)
    {
        m_budget.set_machines(n);
    }

    // What callers ask.

    /// Precondition: the job is valid and its queue is configured.
    submission
    submit(workload::job_spec it, std::int64_t wall_ms, base::instant now);
    /// Takes a submission back of which nothing has left this process: it
    /// never runs. Returns false where it may be stored.
    bool withdraw(workload::job_id it);
    cancellation cancel(workload::job_id it, base::instant now);
    /// The stored phase; nothing where no such job is stored.
    [[nodiscard]] std::optional<job_phase> phase_of(workload::job_id it) const;
    [[nodiscard]] std::size_t pending(std::string const& queue) const;

    // What is known of instances.

    void instance_listed(instance_info it, base::instant now);
    void instance_unlisted(std::string const& id, base::instant now);
    /// Nothing of it runs any more: another life answers at its address.
    void instance_replaced(std::string const& id, base::instant now);
    /// Some configuration has sent a queue to the service.
    [[nodiscard]] bool serves(std::string const& service) const;
    [[nodiscard]] hold_order next_hold(std::string const& id,
                                       base::instant now);
    /// How long the instance need not be asked, unless a start is sent to it.
    [[nodiscard]] base::duration hold_interval(std::string const& id) const;
    void hold_answered(hold_report const& it);
    void hold_unanswered(std::string const& id, base::instant now);
    void start_answered(std::string const& id,
                        attempt_name const& name,
                        start_answer answer,
                        std::int64_t clock_ms,
                        base::instant now);
    void stop_answered(std::string const& id,
                       attempt_name const& name,
                       bool answered,
                       base::instant now);
    void advice_answered(workload::step_name const& of,
                         std::vector<std::string> const& asked,
                         std::vector<permission> const& allowed,
                         base::duration validity,
                         base::instant now);
    void advice_failed(workload::step_name const& of,
                       std::vector<std::string> const& asked,
                       base::instant now);

    // What the process does next.

    /// Time passed: retries, lapses, times of repeating jobs.
    void tick(std::int64_t wall_ms, base::instant now);
    /// Places what can start. A round looks at a bounded number of instances;
    /// where that does not do for all steps, the next one goes on with the
    /// rest.
    void decide(base::instant now);
    /// The last round got to the end of the steps.
    [[nodiscard]] bool round_complete() const noexcept
    {
        return !m_left_off;
    }
    /// The orders decided since the last call.
    [[nodiscard]] std::vector<order> take_orders();
    /// What has to be stored before the next orders and answers; the batch
    /// before must have been reported as stored. Nothing where there is
    /// nothing to store.
    [[nodiscard]] std::vector<record> take_batch(base::instant now);
    /// The batch taken last is stored.
    void batch_stored(base::instant now);
    /// The batch taken last is surely not stored: what is in it goes into the
    /// next one.
    void batch_not_stored();
    /// Anything waits for the next batch.
    [[nodiscard]] bool batch_pending() const noexcept;
    /// Starts wait for the next batch, or something else that somebody waits
    /// for; without it a batch may gather for some milliseconds.
    [[nodiscard]] bool batch_urgent() const noexcept
    {
        return !m_open.starts.empty() || !m_open.stops.empty() || m_finished;
    }

    [[nodiscard]] scheduler_counts const& counts() const noexcept
    {
        return m_counts;
    }

    [[nodiscard]] instance_book const& instances() const noexcept
    {
        return m_instances;
    }

    [[nodiscard]] job_book const& jobs() const noexcept
    {
        return m_jobs;
    }

private:
    /// What a batch holds back until it is stored.
    struct gate
    {
        std::vector<start_order> starts;
        std::vector<stop_order> stops;
        std::map<std::string, std::uint64_t> seen_ends;
        /// The jobs written, and the phase that each is written with.
        std::vector<std::pair<workload::job_id, job_phase>> jobs;
        std::vector<workload::job_id> dropped;
    };

    /// What comes first, whatever its deadline.
    enum class turn_tier : std::uint8_t
    {
        in_time,
        /// Late, and worth something.
        late,
        /// More than its client account is owed.
        beyond_share,
        worthless,
    };

    /// A ready step with what its turn depends on.
    struct turn
    {
        turn_tier tier{turn_tier::in_time};
        /// The latest start that is in time, less what has to be done before.
        base::instant turn_at;
        base::instant latest_start;
        workload::step_name name;

        friend auto operator<=>(turn const&, turn const&) = default;
    };

    void expect_work(job& of) const;
    [[nodiscard]] static attempt attempt_of(job const& of,
                                            workload::step_name const& name);
    [[nodiscard]] bool within_cap(workload::job_spec const& it) const;

    // scheduler_restore.cpp
    void
    restore_spec(workload::job_id id, record const& from, base::instant now);
    void
    restore_state(workload::job_id id, record const& from, base::instant now);
    job& restore_finished(workload::job_id id,
                          record const& from,
                          base::instant now);
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
    void gang_done(step& in);
    void task_failed(job& of,
                     attempt_name const& name,
                     step& in,
                     task& it,
                     base::instant now);
    void give_up(job& of,
                 attempt_name const& name,
                 task const& it,
                 base::instant now);
    void task_waits(step& in, task& it);
    void stop_gang(workload::step_name const& of, step& in, base::instant now);
    void after_change(job& of, base::instant now);
    void finish(job& of, job_phase phase, base::instant now);
    void stop_all(workload::job_id of, base::instant now);
    void want_stop(instance& at,
                   attempt_name const& name,
                   attempt& it,
                   base::instant now);
    void void_attempts(instance& at, end_reason reason, base::instant now);
    void report_lost(instance const& at,
                     attempt_name const& name,
                     attempt const& it,
                     end_reason reason) const;
    void note_health(instance& at, end_reason reason, base::instant now);
    void read_running(instance& at, hold_report const& it);
    void read_ended(instance& at, hold_report const& it);
    [[nodiscard]] std::uint64_t taken_end(instance const& at) const;
    void drop_missing(instance& at, hold_report const& it);
    void note_begun(workload::job_id of);
    [[nodiscard]] std::uint32_t attempts_allowed(job const& of) const;

    // scheduler_orders.cpp
    void retry(instance& at, base::instant now);
    void send_again(instance& at,
                    attempt_name const& name,
                    attempt& it,
                    base::instant now);
    void refused(instance& at,
                 attempt_name const& name,
                 attempt& it,
                 base::instant now);
    void release_start(start_order it, base::instant now);
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

    // scheduler_decide.cpp
    [[nodiscard]] std::vector<turn> turns(base::instant now);
    void note_ready(job const& of,
                    workload::step_name const& name,
                    step& in,
                    base::instant now);
    void note_wait(job const& of, step& in, base::instant now);
    void decide_step(turn const& it, base::instant now);
    void decide_gang(job& of,
                     turn const& it,
                     std::vector<candidate> const& from,
                     base::instant now);
    [[nodiscard]] std::uint32_t account_room(job& of, turn const& it);
    void report_at_cap(job const& of, turn const& it, base::instant now);
    void decide_tasks(job& of,
                      turn const& it,
                      std::uint32_t most,
                      std::vector<candidate> const& from,
                      base::instant now);

    // scheduler_gang_plan.cpp
    void keep_room(job& of, turn const& it, base::instant now);
    void report_waiting_gang(turn const& it,
                             workload::step_spec const& spec,
                             step& in,
                             base::instant now);
    void plan(job& of, turn const& it, step& in, base::instant now);
    [[nodiscard]] std::vector<std::shared_ptr<instance>> usable_later(
        job& of, workload::step_name const& name, base::instant now) const;
    [[nodiscard]] coming_room room_to_come(instance const& at,
                                           base::instant now) const;

    // scheduler_preempt.cpp
    struct offer;
    bool preempt(job& of, turn const& it, base::instant now);
    [[nodiscard]] offer
    offer_of(instance& at, std::int32_t priority, base::instant now);
    [[nodiscard]] bool
    can_wait(attempt_name const& name, std::int32_t than, base::instant now);
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
    [[nodiscard]] bool open_to(instance const& it,
                               workload::step_spec const& spec,
                               base::instant now) const;

    // scheduler_advice.cpp
    [[nodiscard]] bool holds(advice_state::ticket const& it,
                             base::instant now) const;
    [[nodiscard]] double& allowed_share(std::string const& queue);
    [[nodiscard]] std::size_t
    most_named(workload::step_spec const& spec,
               workload::queue_spec const& queue) const;
    [[nodiscard]] std::uint32_t slots_allowed(job& of,
                                              workload::step_name const& name,
                                              workload::queue_spec const& queue,
                                              base::instant now) const;
    [[nodiscard]] std::vector<instance const*>
    task_question(job& of,
                  workload::step_name const& name,
                  workload::queue_spec const& queue,
                  base::instant now);
    [[nodiscard]] std::vector<instance const*>
    gang_question(job& of,
                  turn const& at,
                  workload::queue_spec const& queue,
                  base::instant now);
    [[nodiscard]] std::vector<instance const*>
    not_asked(job& of,
              workload::step_name const& name,
              workload::queue_spec const& queue,
              base::instant now);
    [[nodiscard]] std::vector<instance const*> lapsing(step const& in,
                                                       base::instant now) const;
    [[nodiscard]] std::vector<instance const*>
    first_question(job& of,
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
    void question_ended(advice_state& known,
                        std::vector<std::string> const& asked);
    void send_question(advice_state& known,
                       turn const& at,
                       workload::queue_spec const& queue,
                       std::vector<instance const*> const& named,
                       base::instant now);
    [[nodiscard]] std::uint32_t tasks_on(workload::step_name const& of,
                                         workload::step_spec const& spec,
                                         instance const& at) const;

    /// How many instances that fit are weighed for a question at most. Answers
    /// a cell of thousands, where the best of so many is as good as the best
    /// of all, and a question need not cost a walk over the cell.
    static constexpr std::size_t most_weighed = 600;

    policy m_rules;
    decision_log* m_log;
    /// All queues seen in any configuration: the jobs of one that was taken
    /// out still run under its last rules.
    std::map<std::string, workload::queue_spec> m_queues;
    /// The time of day, milliseconds since 1970, at the last event that told.
    std::int64_t m_wall_ms{0};
    instance_book m_instances;
    account_shares m_shares;
    job_book m_jobs;
    std::vector<order> m_orders;
    gate m_open;
    std::optional<gate> m_in_flight;
    /// A job has finished since the last batch.
    bool m_finished{false};
    /// How many instances are kept free for gangs that wait, in this round.
    std::size_t m_kept_free{0};
    /// Counts the rounds of decisions; those that go on with the one before
    /// not.
    std::uint64_t m_round{0};
    /// After which step a round ended that did not get to the end.
    std::optional<turn> m_left_off;
    /// How many instances were looked at in this round.
    std::size_t m_looks{0};
    /// A late gang has instances kept free, during one round.
    bool m_late_reserving{false};
    /// By queue: which share of the instances its policy allows.
    std::map<std::string, double> m_allowed_shares;
    base::instant m_next_leave_look{};
    advice_budget m_budget;
    run_times m_run_times;
    start_waits m_waits;
    /// Client accounts whose room is kept for a gang of theirs, in this round.
    std::set<std::string, std::less<>> m_accounts_kept;
    /// By account: when it may next be said that it is at its cap.
    std::map<std::string, base::instant> m_cap_reports;
    scheduler_counts m_counts;
};

} // namespace berylhill::scheduler
