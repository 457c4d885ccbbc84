#pragma once

#include <base/time.hpp>
#include <scheduler/completed_occurrences.hpp>
#include <scheduler/loss_count.hpp>
#include <scheduler/memory_share.hpp>
#include <scheduler/orders.hpp>
#include <scheduler/part_ledger.hpp>
#include <scheduler/task_list.hpp>
#include <workload/job_spec.hpp>
#include <workload/queue_spec.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace berylhill::scheduler
{

enum class job_phase : std::uint8_t
{
    queued,
    running,
    completed,
    failed,
    cancelled,
};

[[nodiscard]] constexpr bool finished(job_phase it) noexcept
{
    return it == job_phase::completed || it == job_phase::failed ||
           it == job_phase::cancelled;
}

/// The name of the phase for log lines.
[[nodiscard]] char const* name_of(job_phase it);

/// Whether a job was submitted within its client account's share.
enum class share_standing : std::uint8_t
{
    within_share,
    over_share,
};

class instance;

/// Answers of the advice service for a step. Whether an instance is allowed
/// never changes, but tickets expire.
struct advice_state
{
    struct ticket
    {
        /// The instance itself rather than its name: each scheduling round
        /// examines all tickets of a step, and looking up each instance by name
        /// took a third of the owner's time at 350 instances.
        std::shared_ptr<instance> at;
        std::string text;
        base::instant until{};
    };

    /// The instances named by each unanswered request.
    std::vector<std::vector<std::string>> open;
    /// The numbers of all instances in `open`.
    std::unordered_set<std::uint32_t> asked;
    base::instant next_ask{};
    /// Tickets by the number of the instance.
    std::unordered_map<std::uint32_t, ticket> allowed;
    std::unordered_set<std::uint32_t> refused;
};

/// The tasks of one step of one occurrence.
struct step
{
    task_list tasks;
    std::uint32_t done{0};
    std::uint32_t waiting{0};
    /// For a gang: how often it failed as a whole, and in which run it failed
    /// last.
    std::uint32_t gang_failures{0};
    std::uint32_t gang_failed_run{0};
    advice_state advice;
    /// The last scheduling round in which the step was examined.
    std::uint64_t decided_in_round{0};
    /// Since when the step has been ready to start.
    std::optional<base::instant> ready_since;
    /// The waiting time has been recorded.
    bool wait_recorded{false};
    /// For a gang that waits: the planned instances, the expected time at which
    /// its slots there are free together, and whether the instances are
    /// reserved for it until then.
    std::vector<std::shared_ptr<instance>> reserved;
    std::optional<base::instant> planned_start;
    bool reserves_instances{false};
    /// When the gang is planned next.
    base::instant next_plan{};
    /// When the log next reports why the gang waits.
    base::instant next_report{};

    [[nodiscard]] bool complete() const noexcept
    {
        return done == tasks.size();
    }

    /// Counts the tasks anew by their phases.
    void recount();

    /// Number of tasks with an attempt that may be running.
    [[nodiscard]] std::uint32_t placed() const noexcept
    {
        return static_cast<std::uint32_t>(tasks.size()) - done - waiting;
    }
};

/// One execution of a job's steps; a repeating job has several. Those that are
/// complete are only counted.
struct occurrence
{
    /// When it was due, on the local clock.
    base::instant due{};
    std::vector<step> steps;

    [[nodiscard]] bool complete() const noexcept;
};

/// An attempt that may still be running when its job has finished. A value.
struct remaining_attempt
{
    attempt_name attempt;
    std::string instance;
    workload::resources need;
    workload::resources of_cap;

    friend bool operator==(remaining_attempt const&,
                           remaining_attempt const&) = default;
};

/// A job and its progress. Not thread-safe.
class job
{
public:
    /// The memory that it takes is part of `memory_total`, if there is one.
    job(workload::job_spec spec,
        std::int64_t accepted_ms,
        base::instant now,
        record_layout layout = {},
        std::shared_ptr<std::size_t> memory_total = nullptr);

    /// An estimate of the memory that it takes, in bytes, with its records as
    /// other processes keep them. Attempts of its tasks come on top.
    [[nodiscard]] std::size_t memory() const noexcept
    {
        return m_memory.bytes();
    }

    /// An estimate of the memory that one more occurrence takes at first.
    [[nodiscard]] std::size_t memory_per_occurrence() const noexcept;

    [[nodiscard]] workload::job_spec const& spec() const noexcept
    {
        return m_spec;
    }

    [[nodiscard]] record_layout const& layout() const noexcept
    {
        return m_layout;
    }

    /// Whether the state of the job is stored in several records, each of which
    /// has a bounded size.
    [[nodiscard]] bool partitioned() const noexcept
    {
        return m_partitioned;
    }

    /// The store has parts of the state, although the specification is not
    /// known any more.
    void assume_partitioned() noexcept
    {
        m_partitioned = true;
    }

    /// If the job was restored from the records of a release that knew no
    /// parts, notes that all its parts have to be written.
    void note_former_state_changed();

    /// Creates the occurrence with all tasks waiting. Precondition: it is not
    /// complete.
    occurrence& open_occurrence(std::uint32_t number, base::instant due);

    /// The lowest number of which no occurrence has been opened.
    [[nodiscard]] std::uint32_t next_occurrence() const;

    /// Number of tasks of the open occurrences.
    [[nodiscard]] std::size_t open_tasks() const noexcept
    {
        return m_tasks_per_occurrence * occurrences.size();
    }

    /// When the occurrence was due; for one that is not open, when the job was
    /// accepted.
    [[nodiscard]] base::instant due_at(std::uint32_t occurrence) const;

    /// Replaces the occurrences whose tasks are all done by a note of that.
    /// References to their steps and tasks become invalid.
    void retire_complete_occurrences();

    /// Returns the step, or null if the job has no such step yet or its
    /// occurrence is complete.
    [[nodiscard]] step* find(workload::step_name const& it);
    [[nodiscard]] step const* find(workload::step_name const& it) const;

    /// Returns the task in order to change it, and notes that its record has to
    /// be written. Precondition: its step can be found.
    [[nodiscard]] task& edit(workload::task_name const& it);

    /// The task is done and will not be changed soon. References to tasks of
    /// its step become invalid. Precondition: its step can be found.
    void compact(workload::task_name const& it);

    /// Sets a task as its record says. Precondition: its step can be found.
    void restore_task(workload::task_name const& it, task state);

    /// Notes that the record which has the counts of the step has to be
    /// written.
    void note_step_changed(workload::step_name const& it);

    /// Whether the job has such a task, in an occurrence that has been opened.
    [[nodiscard]] bool has_task(workload::task_name const& it) const;

    /// The part of the state that has the task.
    [[nodiscard]] state_part part_of(workload::task_name const& it) const;

    [[nodiscard]] workload::step_spec const&
    spec_of(workload::step_name const& it) const
    {
        return m_spec.steps[it.step_index];
    }

    /// Whether all steps that step `number` depends on are complete.
    [[nodiscard]] bool ready(occurrence const& in, std::uint32_t number) const;

    /// Whether every occurrence is complete and has been retired.
    [[nodiscard]] bool complete() const
    {
        return completed.all_below() >= occurrences_in_all();
    }

    /// The total number of occurrences of the job.
    [[nodiscard]] std::uint32_t occurrences_in_all() const noexcept
    {
        return m_spec.repeats.count == 0 ? 1 : m_spec.repeats.count;
    }

    /// The expected work on the longest dependency chain that begins with this
    /// step.
    [[nodiscard]] base::duration chain_from(std::uint32_t step) const
    {
        return m_chains[step];
    }

    [[nodiscard]] base::duration longest_chain() const noexcept
    {
        return m_longest;
    }

    /// Sets the expected work of a task of each step in place of the client's
    /// estimates. Precondition: one duration per step.
    void set_work(std::vector<base::duration> const& it);

    /// Adds an attempt to `remaining_attempts`. Precondition: the specification
    /// is known.
    void add_remaining(attempt_name const& name, std::string const& instance);

    /// Removes an attempt from `remaining_attempts`. Returns whether it was
    /// there.
    bool remove_remaining(attempt_name const& name,
                          std::string const& instance);

    /// Releases what only unfinished jobs need and records the attempts that
    /// may still be running, and the parts that have them.
    void release_details();

    /// Its queue as it was when the job was accepted; null if the job was
    /// accepted by a release that did not keep it.
    std::shared_ptr<workload::queue_spec const> queue;
    /// Whether the job is within its client account's share; jobs beyond it
    /// wait for all others.
    share_standing standing{share_standing::within_share};
    job_phase phase{job_phase::queued};
    /// The phase that is stored and may therefore be reported to clients.
    job_phase stored_phase{job_phase::queued};
    bool stored{false};
    /// False if only its cancellation has arrived. Such a job never runs, and
    /// its status is not shown.
    bool submitted{true};
    /// Whether the store knows that it was submitted.
    bool stored_submitted{true};
    /// It is not known to be stored, but some of its records may be.
    bool may_be_stored{false};
    /// Whether any task has started.
    bool begun{false};
    /// When it was accepted, in milliseconds since 1970 and on the local clock.
    std::int64_t accepted_ms{0};
    base::instant accepted_at{};
    /// When its phase became final, on the local clock.
    base::instant finished_at{};
    /// Those that are open.
    std::map<std::uint32_t, occurrence> occurrences;
    completed_occurrences completed;
    /// Used if the state is partitioned.
    part_ledger parts;
    /// For a finished job: the parts that name attempts which may still be
    /// running. They stay in the store as long as the job's status.
    std::set<state_part> parts_kept;
    /// Attempts that may still be running and that no task names as its
    /// current one: all those of a finished job, and those that were not
    /// expected or whose task is done. A successor counts and stops them.
    std::vector<remaining_attempt> remaining_attempts;
    /// When its phase became final, in milliseconds since 1970.
    std::int64_t finished_ms{0};

private:
    void collect_remaining_attempts();
    void note_completed(std::uint32_t number);
    [[nodiscard]] task& row_of(workload::task_name const& it);
    void add_memory(std::size_t now, std::size_t before);

    workload::job_spec m_spec;
    record_layout m_layout;
    std::size_t m_tasks_per_occurrence{0};
    bool m_partitioned{false};
    std::vector<base::duration> m_chains;
    base::duration m_longest{0};
    memory_share m_memory;
};

} // namespace berylhill::scheduler
