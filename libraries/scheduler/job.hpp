#pragma once

#include <base/time.hpp>
#include <scheduler/loss_count.hpp>
#include <scheduler/orders.hpp>
#include <workload/job_spec.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
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

/// For logs.
[[nodiscard]] char const* name_of(job_phase it);

/// Whether a client account is owed a job, or has handed in more than that.
enum class share_standing : std::uint8_t
{
    owed,
    beyond,
};

enum class task_phase : std::uint8_t
{
    waiting,
    /// An attempt may be running.
    placed,
    done,
};

/// One task of a step.
struct task
{
    task_phase phase{task_phase::waiting};
    /// The number of its last start; 0: none yet.
    std::uint32_t run{0};
    std::uint32_t failures{0};
    /// Where the next start goes on from.
    std::string checkpoint;
    /// Where the last start was placed.
    std::string instance;
    loss_count lost;

    friend bool operator==(task const&, task const&) = default;
};

class instance;

/// What the advice service has said of a step. Which instances are allowed
/// never changes; tickets lapse.
struct advice_state
{
    struct ticket
    {
        /// Kept here since a step looks at all its tickets in each round of
        /// decisions: to find each by its name took a third of the owner's
        /// time at 350 instances.
        std::shared_ptr<instance> at;
        std::string text;
        base::instant until{};
    };

    /// Questions without an answer yet: which instances each names.
    std::vector<std::vector<std::string>> open;
    /// The instances that they name.
    std::unordered_set<std::uint32_t> asked;
    base::instant next_ask{};
    /// By the number of the instance.
    std::unordered_map<std::uint32_t, ticket> allowed;
    std::unordered_set<std::uint32_t> refused;
};

/// The tasks of one step of one occurrence.
struct step
{
    std::vector<task> tasks;
    std::uint32_t done{0};
    std::uint32_t waiting{0};
    /// Of a gang: how often it failed as a whole, and in which run last.
    std::uint32_t gang_failures{0};
    std::uint32_t gang_failed_run{0};
    advice_state advice;
    /// Since when it could start.
    std::optional<base::instant> waits_since;
    /// How long it waited has been counted.
    bool wait_noted{false};
    /// Of a gang that waits: the instances it is planned on, when its slots
    /// there are expected to be free together, and whether they are kept free
    /// for it meanwhile.
    std::vector<std::shared_ptr<instance>> reserved;
    std::optional<base::instant> planned_start;
    bool keeps_room{false};
    /// Until then its plan stays as it is.
    base::instant next_look{};
    /// When the log next says why it waits.
    base::instant next_report{};

    [[nodiscard]] bool complete() const noexcept
    {
        return done == tasks.size();
    }

    /// Attempts of it may be running.
    [[nodiscard]] std::uint32_t placed() const noexcept
    {
        return static_cast<std::uint32_t>(tasks.size()) - done - waiting;
    }
};

/// One run through a job's steps.
struct occurrence
{
    /// When it was due, on our clock.
    base::instant due{};
    std::vector<step> steps;

    [[nodiscard]] bool complete() const noexcept;
};

/// An attempt that may still be running when its job has finished. A value.
struct leftover
{
    attempt_name attempt;
    std::string instance;
    workload::resources need;
    workload::resources of_cap;

    friend bool operator==(leftover const&, leftover const&) = default;
};

/// A job and how far it is. Not thread-safe.
class job
{
public:
    job(workload::job_spec spec, std::int64_t accepted_ms, base::instant now);

    [[nodiscard]] workload::job_spec const& spec() const noexcept
    {
        return m_spec;
    }

    /// Makes the occurrence, with all tasks waiting.
    occurrence& open_occurrence(std::uint32_t number, base::instant due);

    /// The step, or null where the job has none such yet.
    [[nodiscard]] step* find(workload::step_name const& it);

    [[nodiscard]] workload::step_spec const&
    spec_of(workload::step_name const& it) const
    {
        return m_spec.steps[it.step_index];
    }

    /// All steps it waits for are complete.
    [[nodiscard]] bool ready(occurrence const& in, std::uint32_t number) const;

    /// Every occurrence has been opened and is complete.
    [[nodiscard]] bool complete() const;

    /// How many occurrences the job has in all.
    [[nodiscard]] std::uint32_t occurrences_in_all() const noexcept
    {
        return m_spec.repeats.count == 0 ? 1 : m_spec.repeats.count;
    }

    /// Work still to be done from this step on along the longest chain, as it
    /// is expected.
    [[nodiscard]] base::duration chain_from(std::uint32_t step) const
    {
        return m_chains[step];
    }

    [[nodiscard]] base::duration longest_chain() const noexcept
    {
        return m_longest;
    }

    /// Sets how long a task of each step is expected to work, in place of the
    /// client's estimates. Precondition: one time a step.
    void set_work(std::vector<base::duration> const& it);

    /// Forgets what only unfinished jobs need, and notes what may still run.
    void shed();

    /// Its client account is owed it; others wait for all that is owed.
    share_standing standing{share_standing::owed};
    job_phase phase{job_phase::queued};
    /// What has been stored, and so what may be told.
    job_phase stored_phase{job_phase::queued};
    bool stored{false};
    /// Some task has started.
    bool begun{false};
    /// When it was accepted: milliseconds since 1970, and on our clock.
    std::int64_t accepted_ms{0};
    base::instant accepted_at{};
    /// When its phase became final.
    base::instant finished_at{};
    std::map<std::uint32_t, occurrence> occurrences;
    /// Of a finished job. A successor counts them until they have surely
    /// ended, though it knows nothing else of the job.
    std::vector<leftover> leftovers;
    /// When its phase became final: milliseconds since 1970.
    std::int64_t finished_ms{0};

private:
    void note_leftovers();

    workload::job_spec m_spec;
    std::vector<base::duration> m_chains;
    base::duration m_longest{0};
};

} // namespace berylhill::scheduler
