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

struct work_class;

enum class task_phase : std::uint8_t
{
    waiting,   ///< Not placed.
    ordered,   ///< A hold was asked for.
    held,      ///< The hold was given.
    committed, ///< The start was ordered.
    running,
    stopping, ///< A release was ordered; it may still run.
    done,
};

/// One task of a job, inside its owner's queue.
struct task_record
{
    std::int32_t number{0};
    std::int32_t group{-1};
    task_phase phase{task_phase::waiting};
    /// Whether it counts against its contract.
    bool charged{false};
    bool urgent{false};
    std::int16_t failures{0};
    /// Workers lost under it in a row, each soon after it had started there.
    std::int16_t lapses{0};
    /// Where room is being made for it by preemption, or -1.
    std::int32_t claimed_group{-1};
    model::resources planned;
    float expected_run_s{0};
    base::instant since{};
};

/// A job that has not reached its outcome.
struct job_record
{
    std::string id;
    model::job_request request;
    std::int32_t account{-1};
    std::shared_ptr<work_class> of_class;
    /// Where it stands in `of_class->members`.
    std::size_t member_at{0};
    base::instant accepted_at{};
    base::instant deadline{base::instant::max()};
    model::job_state state{model::job_state::queued};
    std::vector<task_record> tasks;
    /// Tasks that may be placed now, by index, the next at the back.
    std::vector<std::int32_t> waiting;
    /// It stands in its class's queue.
    bool queued{false};
    std::int32_t unfinished{0};
    /// Tasks of a gang that have been ordered, held or not.
    std::int32_t ordered{0};
    std::int32_t held{0};
    /// Groups that a gang still has to ask, in the one global order, the
    /// next at the back.
    std::vector<std::int32_t> to_ask;
    /// Where holds of this gang were refused since it began to ask.
    std::int32_t rounds_failed{0};
    std::int32_t failures_in_row{0};
    /// When it first found no room; `max` while it was never blocked.
    base::instant blocked_since{base::instant::max()};
    base::instant not_before{};
    std::set<std::string> failed_on;
    std::set<std::int32_t> failed_groups;
    /// Running tasks by group, for spreading services.
    std::map<std::int32_t, std::int32_t> spread;
};

/// Jobs that are alike for placement: where one finds no room, none does.
struct work_class
{
    std::string key;
    std::int32_t account{-1};
    bool urgent{false};
    std::deque<std::shared_ptr<job_record>> jobs;
    /// Cancelled jobs that still stand in `jobs`.
    std::size_t dead{0};
    /// What is planned for one task, and for how long.
    model::resources need;
    double run_s{0};
    /// The rounds of decisions in which no room was found for it, and in which
    /// its plan was last looked up.
    std::uint64_t failed_round{0};
    std::uint64_t planned_round{0};
    /// All its jobs without an outcome, waiting or not, in an order that does
    /// not hang on addresses: the same events give the same decisions.
    std::vector<job_record*> members;
    /// More is known since its running tasks were planned.
    bool replan{false};
    /// It stands among its contract's active classes.
    bool active{false};
};

} // namespace berylhill::placement
