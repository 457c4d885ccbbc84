#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace berylhill::soak
{

/// What callers and instances saw, held against what the product promises.
/// Findings are collected; the first of each kind of breach says enough. Pure:
/// time comes with each event. Not thread-safe.
class ledger
{
public:
    using instant = std::chrono::steady_clock::time_point;

    /// From the acknowledgement of a cancellation until no task of the job
    /// starts any more, and from then until none runs.
    static constexpr std::chrono::milliseconds cancel_bound{3'000};
    static constexpr std::chrono::milliseconds stop_bound{900};

    /// `room`: how many tasks an instance holds; `tasks`: names of the tasks
    /// of a job after `JOB.`, in the order of their steps.
    ledger(std::size_t room, std::vector<std::vector<std::string>> steps);

    // What instances saw.
    void started(std::string const& instance, std::string const& task);
    /// The start was carried out as soon as the order arrived.
    void started_promptly(std::string const& task, instant now);
    void ended(std::string const& instance,
               std::string const& task,
               std::string const& how);
    /// An end `done` of the task was acknowledged in time: it stands for good.
    void end_acknowledged(std::string const& task);
    void crashed(std::string const& instance);
    /// The task crashes each instance that starts it.
    void crashes_its_instances(std::string const& task);
    /// What counts as the room of an instance from now on.
    void room_changed(std::string const& instance, std::size_t room);

    // What callers saw.
    void submit_sent(std::string const& job);
    /// The connection has sent the attempt twice; its answer is that to the
    /// second send.
    void submit_repeated(std::string const& job);
    /// `status`: 0 where no answer came.
    void submit_answered(std::string const& job, unsigned status, instant now);
    /// The attempt that was sent last has to be accepted by then.
    void must_be_accepted(std::string const& job, instant by);
    void cancel_sent(std::string const& job);
    void cancel_acknowledged(std::string const& job, instant now);
    void shown(std::string const& job, std::string const& state, instant now);
    void unknown(std::string const& job, instant now);

    /// Such an answer to a submission says that it has no effect.
    [[nodiscard]] static bool is_rejection(unsigned status);

    /// A fault begins, lasts or ends.
    void disturbed(instant now);
    /// Looks for tasks of cancelled jobs that run on.
    void check_cancelled(instant now);

    /// Something else that must not be.
    void found(std::string what);

    /// All faults are over for long enough.
    void finish();

    [[nodiscard]] std::vector<std::string> const& findings() const noexcept
    {
        return m_findings;
    }

    [[nodiscard]] std::size_t accepted() const noexcept
    {
        return m_accepted_jobs;
    }

    /// How many attempts had to be accepted.
    [[nodiscard]] std::size_t owed() const noexcept
    {
        return m_owed;
    }

    [[nodiscard]] std::size_t starts() const noexcept
    {
        return m_starts;
    }

private:
    struct job_seen
    {
        bool accepted{false};
        instant accepted_at;
        /// Some attempt to hand it in may have been taken.
        bool maybe_accepted{false};
        bool rejected{false};
        bool found{false};
        /// Attempts to hand it in that have not ended.
        int under_way{0};
        std::optional<instant> must_be_accepted_by;
        bool cancel_sent{false};
        std::optional<instant> cancel_acknowledged_at;
        bool runs_on{false};
        bool begun{false};
        std::string state;
    };

    struct task_seen
    {
        std::set<std::string> running_on;
        /// Where it ended `done`; empty: nowhere that still stands.
        std::string done_on;
        bool ever_done{false};
        bool end_acknowledged{false};
        /// Instances that crashed while it ran there.
        std::size_t crashes{0};
        bool crashes_its_instances{false};
    };

    [[nodiscard]] bool step_done(std::string const& job, std::size_t step);
    void check_rejected(std::string const& id);
    void check_order(std::string const& name);
    void check_crashes(std::string const& name, task_seen const& it);
    [[nodiscard]] std::size_t room_of(std::string const& instance) const;
    [[nodiscard]] bool may_fail(std::string const& job) const;

    std::size_t m_room;
    std::vector<std::vector<std::string>> m_steps;
    std::map<std::string, job_seen> m_jobs;
    std::map<std::string, task_seen> m_tasks;
    std::map<std::string, std::set<std::string>> m_running;
    /// Of instances whose room has changed.
    std::map<std::string, std::size_t> m_rooms;
    instant m_disturbed_at;
    std::vector<std::string> m_findings;
    std::size_t m_accepted_jobs{0};
    std::size_t m_owed{0};
    std::size_t m_starts{0};
};

} // namespace berylhill::soak
