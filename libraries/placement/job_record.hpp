#pragma once

#include <base/time.hpp>
#include <model/job.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace berylhill::placement
{

struct job_class;

enum class task_phase : std::uint8_t
{
    waiting,   ///< Not placed.
    ordered,   ///< A hold was requested.
    held,      ///< The hold was granted.
    committed, ///< The start was requested.
    running,
    stopping, ///< A release was requested; the attempt may still run.
    done,
};

/// One task of a job, as its owner tracks it.
struct task_record
{
    std::int32_t number{0};
    std::int32_t group{-1};
    task_phase phase{task_phase::waiting};
    /// Whether the task is charged to its contract.
    bool charged{false};
    bool urgent{false};
    /// Whether a send of the current order got no answer, and no later send of
    /// it was answered: the order may still be carried out.
    bool unanswered{false};
    std::int16_t failures{0};
    /// Workers lost in a row, each soon after the task had started there.
    std::int16_t consecutive_losses{0};
    /// The group where preemption is freeing capacity for the task, or -1.
    std::int32_t claimed_group{-1};
    model::resources planned;
    float expected_run_s{0};
    base::instant since{};
};

/// A job without an outcome.
struct job_record
{
    std::string id;
    model::job_request request;
    std::int32_t account{-1};
    std::shared_ptr<job_class> of_class;
    /// Its index in `of_class->members`.
    std::size_t member_index{0};
    base::instant accepted_at{};
    base::instant deadline{base::instant::max()};
    model::job_state state{model::job_state::queued};
    std::vector<task_record> tasks;
    /// Indices of the tasks that may be placed now, the next at the back.
    std::vector<std::int32_t> waiting;
    /// Whether it is in its class's queue.
    bool queued{false};
    std::int32_t unfinished{0};
    /// Tasks of a gang for which holds were requested, granted or not.
    std::int32_t ordered{0};
    std::int32_t held{0};
    /// Groups that a gang still has to ask, in the order of
    /// `group_table::in_order`, the next at the back.
    std::vector<std::int32_t> groups_to_ask;
    /// Failed rounds of hold requests of a gang since it last got all its
    /// holds.
    std::int32_t rounds_failed{0};
    std::int32_t consecutive_failures{0};
    /// When placement first failed; `max` while the job is not blocked.
    base::instant blocked_since{base::instant::max()};
    base::instant not_before{};
    std::set<std::string> failed_workers;
    std::set<std::int32_t> failed_groups;
    /// Number of running tasks by group, for spreading services.
    std::map<std::int32_t, std::int32_t> spread;
};

/// Jobs that are equivalent for placement: if one doesn't fit, none does.
struct job_class
{
    std::string key;
    std::int32_t account{-1};
    bool urgent{false};
    std::deque<std::shared_ptr<job_record>> jobs;
    /// The number of finished jobs that are still in `jobs`.
    std::size_t finished{0};
    /// The planned resources of one task and its expected run time.
    model::resources need;
    double run_s{0};
    /// The last decision rounds in which placement failed, and in which `need`
    /// and `run_s` were updated.
    std::uint64_t failed_round{0};
    std::uint64_t planned_round{0};
    /// All its jobs without an outcome, waiting or not. The order doesn't
    /// depend on addresses, so that the same events give the same decisions.
    std::vector<job_record*> members;
    /// Whether the estimate has changed since its running tasks were planned.
    bool replan{false};
    /// Whether it is among its contract's active classes.
    bool active{false};
};

} // namespace berylhill::placement
