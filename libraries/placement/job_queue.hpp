#pragma once

#include <base/result.hpp>
#include <base/time.hpp>
#include <model/contract.hpp>
#include <model/job.hpp>
#include <placement/contract_account.hpp>
#include <placement/estimator.hpp>
#include <placement/group_table.hpp>
#include <placement/job_record.hpp>
#include <placement/queue_action.hpp>

#include <boost/random/mersenne_twister.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

namespace berylhill::placement
{

/// The end of an attempt, as reported by its group's owner.
struct attempt_end
{
    model::attempt_id attempt;
    model::task_end end{model::task_end::succeeded};
    std::string worker;
    model::resources peak;
    double run_s{0};
    std::string detail;
};

/// State of a job, for status pages.
struct job_status
{
    model::job_request request;
    model::job_state state{model::job_state::queued};
    std::int32_t waiting{0};
    std::int32_t running{0};
    std::int32_t done{0};
    /// Tasks that failed at least once and have not succeeded since.
    std::int32_t failed{0};
};

/// The state of a job owner: the jobs of some contracts, the order and
/// placement of their tasks, and their outcomes. Has no side effects; not
/// thread-safe. Every event takes the instant at which it happens, and instants
/// must not decrease. Attempt numbers only increase; events of older attempts
/// are ignored.
class job_queue
{
public:
    /// `seed` initialises the random back-off. Attempts are numbered from
    /// `first_attempt` on: a new owner of the same jobs passes a number above
    /// all that earlier owners can have used.
    explicit job_queue(std::uint64_t seed, std::int32_t first_attempt = 1);

    /// Adds or updates a contract. An update applies to decisions from now on.
    void set_contract(model::contract const& it);

    void update_group(group_digest const& it, base::instant now);
    void remove_group(std::string const& group);

    /// Adds a job. Fails with `invalid` when it can never run, `not_found`
    /// when its contract is unknown and `refused` when the contract has reached
    /// its number of jobs. A known job id denotes the same job and succeeds
    /// without effect.
    base::result<base::done> submit(std::string const& id,
                                    model::job_request const& request,
                                    base::instant now);

    /// Whether `submit` would accept the job now; fails as it does.
    [[nodiscard]] base::result<base::done>
    check_admission(model::job_request const& request) const;

    /// Restores a job that was accepted earlier, without admission checks.
    void restore(std::string const& id,
                 model::job_request const& request,
                 base::instant accepted_at);
    /// Marks a task of a restored job as done.
    void restore_done(model::task_id const& task);
    /// Restores a running attempt of a restored job. Releases it when another
    /// attempt of the task is known or the job is not.
    queue_actions restore_running(model::attempt_id const& attempt,
                                  std::string const& group,
                                  model::resources const& planned,
                                  base::instant now);

    /// Cancels a job: its holds are released and its tasks stopped at once. The
    /// actions contain the outcome; they are empty for an unknown job.
    queue_actions cancel(std::string const& job, base::instant now);

    /// Places waiting tasks until at least `max_holds` holds are requested or
    /// nothing more fits. A gang may exceed this limit, as it is placed as a
    /// whole.
    queue_actions decide(base::instant now, std::int32_t max_holds);

    /// The group's owner granted a hold in mode `hold`. The attempt is released
    /// when it is no longer needed.
    queue_actions on_held(model::attempt_id const& attempt,
                          std::string const& group,
                          base::instant now);
    /// The attempt was started. It is released when it is no longer needed.
    queue_actions on_started(model::attempt_id const& attempt,
                             std::string const& group,
                             base::instant now);
    /// The group's owner refused a hold, or a commit came after the hold had
    /// expired. The attempt does not run.
    queue_actions on_refused(model::attempt_id const& attempt,
                             hold_state why,
                             base::instant now);
    /// The last order for the attempt got no answer. Returns the same order, as
    /// orders are idempotent and the first may have been carried out.
    queue_actions on_unanswered(model::attempt_id const& attempt);
    /// The last send of the order for the attempt certainly had no effect. If
    /// an earlier send of a start got no answer, that one may still take
    /// effect, and the same order is returned. Otherwise the attempt does not
    /// run, as after `on_refused`.
    queue_actions on_not_taken(model::attempt_id const& attempt,
                               base::instant now);
    queue_actions on_finished(attempt_end const& it, base::instant now);
    /// An attempt of the task other than the current one has succeeded. A
    /// waiting task of a batch job is then done and is not started again. A
    /// current attempt continues.
    queue_actions on_late_success(model::task_id const& task,
                                  base::instant now);
    /// Records the measured use of a running attempt.
    void on_usage(model::attempt_id const& attempt,
                  model::resources const& use);

    /// When `decide` has to be called next if no other event comes before;
    /// `max` for never.
    [[nodiscard]] base::instant next_wakeup() const;

    [[nodiscard]] std::optional<job_status>
    status_of(std::string const& job) const;
    [[nodiscard]] std::size_t job_count() const noexcept
    {
        return m_jobs.size();
    }
    [[nodiscard]] std::int64_t waiting_tasks() const noexcept
    {
        return m_waiting_tasks;
    }
    [[nodiscard]] model::resources usage_of(std::string const& contract) const;

private:
    using job_pointer = std::shared_ptr<job_record>;

    /// A contract's entry in the priority queue of one decision round; the
    /// smallest share is served first.
    struct turn
    {
        double share{0};
        std::int32_t account{0};
        friend auto operator<=>(turn const&, turn const&) = default;
    };
    using turns = std::priority_queue<turn, std::vector<turn>, std::greater<>>;

    /// A timer that puts a job, and a task of it if `task` is not -1, back into
    /// its queue.
    struct wakeup_timer
    {
        base::instant at{};
        std::uint64_t order{0};
        std::weak_ptr<job_record> job;
        std::int32_t task{-1};
        friend bool operator>(wakeup_timer const& a, wakeup_timer const& b)
        {
            return a.at != b.at ? a.at > b.at : a.order > b.order;
        }
    };

    /// The reservation of groups for the job that has been blocked longest.
    struct reservation
    {
        std::string job;
        base::instant until{};
    };

    // Admission and removal of jobs (job_queue.cpp).
    job_pointer add(std::string const& id,
                    model::job_request const& request,
                    base::instant accepted_at);
    [[nodiscard]] base::result<base::done>
    check(contract_account const& it, model::job_request const& request) const;
    [[nodiscard]] job_pointer find(std::string const& job) const;
    [[nodiscard]] contract_account& account_of(job_record const& it);
    void enqueue(job_pointer const& job);
    void make_waiting(job_record& job, std::int32_t index);
    void clear_waiting(job_record& job);
    std::shared_ptr<job_class> class_of(job_record const& job);
    queue_actions release_all(job_record& job);
    queue_actions
    finish_job(job_record& job, model::job_state state, std::string detail);

    // Decisions (job_queue_decide.cpp).
    void process_wakeups(base::instant now);
    void schedule_wakeup(job_pointer const& job,
                         std::int32_t task,
                         base::instant at);
    [[nodiscard]] turns turns_of(bool urgent) const;
    bool decide_one(turns& from,
                    bool urgent,
                    base::instant now,
                    queue_actions& actions);
    job_class* next_class(contract_account& it, bool urgent, base::instant now);
    [[nodiscard]] double order_key(contract_account const& account,
                                   job_class const& it) const;
    void remove_finished_jobs(job_class& it);
    void remove_idle_classes(contract_account& account);
    void update_estimate(job_class& it);
    [[nodiscard]] bool can_ever_fit(job_record const& job,
                                    model::resources const& need) const;
    bool place(job_class& it, base::instant now, queue_actions& actions);
    bool place_task(job_class& it,
                    job_pointer const& job,
                    base::instant now,
                    queue_actions& actions);
    void request_hold(job_pointer const& job,
                      std::int32_t index,
                      std::int32_t group,
                      hold_mode mode,
                      bool preempt,
                      queue_actions& actions);
    [[nodiscard]] hold_order hold_order_for(job_record const& job,
                                            std::int32_t index) const;

    // Gangs (job_queue_gang.cpp).
    bool place_gang(job_class& it,
                    job_pointer const& job,
                    base::instant now,
                    queue_actions& actions);
    void ask_next_group(job_pointer const& job,
                        base::instant now,
                        queue_actions& actions);
    queue_actions on_gang_answer(job_pointer const& job, base::instant now);
    queue_actions release_gang(job_pointer const& job, base::instant now);
    queue_actions restart_gang(job_pointer const& job, base::instant now);

    // Reservations (job_queue_reserve.cpp).
    void record_blocked(job_pointer const& job, base::instant now);
    void reserve_if_due(base::instant now, queue_actions& to);
    void
    reserve_for(job_record const& job, base::instant now, queue_actions& to);
    void drop_reservation(std::string const& job);

    void mark_for_replan(std::shared_ptr<job_class> const& it);
    void replan(queue_actions& to);
    void replan_job(job_record& job, queue_actions& to);

    // Events of attempts (job_queue_events.cpp).
    task_record* find_current(job_pointer const& job,
                              model::attempt_id const& attempt);
    void stop_accounting(job_record& job, task_record& it);
    queue_actions
    task_done(job_pointer const& job, std::int32_t index, base::instant now);
    queue_actions task_failed(job_pointer const& job,
                              std::int32_t index,
                              attempt_end const& it,
                              base::instant now);
    queue_actions
    task_lapsed(job_pointer const& job, std::int32_t index, base::instant now);
    queue_actions run_again(job_pointer const& job,
                            std::int32_t index,
                            base::instant at,
                            base::instant now);

    boost::random::mt19937_64 m_random;
    std::int32_t m_first_attempt;
    estimator m_estimator;
    group_table m_groups;
    std::vector<std::unique_ptr<contract_account>> m_accounts;
    std::unordered_map<std::string, std::int32_t> m_account_index;
    std::unordered_map<std::string, job_pointer> m_jobs;
    std::priority_queue<wakeup_timer, std::vector<wakeup_timer>, std::greater<>>
        m_wakeups;
    std::uint64_t m_wakeup_order{0};
    std::optional<reservation> m_reservation;
    /// The job that has been blocked longest among those blocked this round.
    job_pointer m_longest_blocked;
    std::uint64_t m_round{0};
    std::int32_t m_consecutive_urgent{0};
    std::int64_t m_waiting_tasks{0};
    /// Classes whose estimate has changed since their tasks were planned.
    std::vector<std::shared_ptr<job_class>> m_to_replan;
};

} // namespace berylhill::placement
