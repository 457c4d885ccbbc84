#pragma once

#include <model/job.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace berylhill::lease
{

/// Where the newest attempt of a task stands.
enum class attempt_state : std::uint8_t
{
    running, ///< Started, or may have been.
    over,    ///< It does not run any more, and how it ended is known.
    lost,    ///< It does not run any more; how it ended is not known.
};

/// Whether a task may be started again.
enum class placement : std::uint8_t
{
    allowed,
    runs,         ///< An attempt runs or may run.
    may_have_run, ///< Not idempotent, and how the last attempt ended is
                  ///< unknown.
};

/// What became of a result.
enum class verdict : std::uint8_t
{
    accepted,
    repeated, ///< The same attempt's result came before.
    late,     ///< Of an older attempt, or after the attempt was given up.
};

/// The newest attempt of each task: numbers them, refuses results of older
/// ones, and says when another may start. A value; not thread-safe.
class attempt_book
{
public:
    struct attempt
    {
        std::int32_t number{0};
        std::string worker;
        model::rerun safety{model::rerun::idempotent};
        attempt_state state{attempt_state::running};

        friend auto operator<=>(attempt const&, attempt const&) = default;
    };

    [[nodiscard]] placement may_place(model::task_id const& task) const;

    /// Numbers a new attempt. Precondition: `may_place(task)` is `allowed`.
    [[nodiscard]] model::attempt_id begin(model::task_id const& task,
                                          std::string const& worker,
                                          model::rerun safety);

    /// An attempt found running in a worker's inventory. False when a newer
    /// one is known: this one has to be stopped.
    [[nodiscard]] bool adopt(model::attempt_id const& it,
                             std::string const& worker,
                             model::rerun safety);

    /// A worker reports the end of an attempt, a confirmed stop included.
    [[nodiscard]] verdict finish(model::attempt_id const& it);

    /// The start was not sent, or the worker refused it: it never ran.
    void never_started(model::attempt_id const& it);

    /// No task of this worker runs any more, without its word on how they
    /// ended: its leases have lapsed, its process began anew, or the platform's
    /// list has dropped it. The tasks that were running there.
    std::vector<model::attempt_id> lost_worker(std::string const& worker);

    /// The worker has answered and this attempt is not in its inventory.
    void lost(model::attempt_id const& it);

    /// The job is over; its attempts' numbers are not needed any more.
    void forget(model::task_id const& task);

    [[nodiscard]] attempt const* newest(model::task_id const& task) const;
    [[nodiscard]] std::vector<model::attempt_id>
    running_on(std::string const& worker) const;
    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_newest.size();
    }

    friend bool operator==(attempt_book const&, attempt_book const&) = default;

private:
    void end(model::task_id const& task, attempt& it, attempt_state state);

    std::map<model::task_id, attempt> m_newest;
    std::map<std::string, std::set<model::task_id>> m_running;
};

} // namespace berylhill::lease
