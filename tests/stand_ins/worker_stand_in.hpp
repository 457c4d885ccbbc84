#pragma once

#include <base/time.hpp>
#include <model/endpoint.hpp>
#include <platform/worker_link.hpp>
#include <stand_ins/gate.hpp>
#include <stand_ins/history.hpp>
#include <stand_ins/simulated_task.hpp>

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace berylhill::stand_ins
{

/// Progress that checkpoints have kept; the platform's, so shared by workers.
/// Thread-safe.
class checkpoint_store
{
public:
    void keep(model::task_id const& it, base::duration worked);
    [[nodiscard]] base::duration progress(model::task_id const& it) const;

private:
    mutable std::mutex m_mutex;
    std::map<model::task_id, base::duration> m_progress;
};

/// One worker. It starts what it is given, whether it fits or not, and stops
/// its tasks when their lease lapses on its own clock. Thread-safe.
class worker_stand_in
{
public:
    /// `clock_offset` makes its clock unlike everybody else's.
    worker_stand_in(model::endpoint self,
                    base::duration clock_offset,
                    base::duration usage_lag,
                    double time_scale,
                    checkpoint_store& checkpoints,
                    history& seen);

    /// Null when the epoch is below the highest seen.
    [[nodiscard]] std::optional<platform::worker_answer>
    exchange(platform::worker_request const& request);

    /// Ends what has run its time and what lost its lease.
    void tick();

    /// As if the machine were started anew: its tasks and results are gone.
    void restart();

    [[nodiscard]] model::endpoint const& self() const noexcept
    {
        return m_self;
    }

    /// Shut: no request comes in. Answers go out through `out`.
    gate in;
    gate out;
    std::atomic<bool> fails_everything{false};
    /// Off the platform's list, and answers nothing.
    std::atomic<bool> gone{false};

private:
    [[nodiscard]] std::int64_t local_us() const;
    void take(platform::worker_request const& request);
    void start(platform::task_start const& it);
    void end(model::attempt_id const& it,
             model::task_end how,
             std::string const& detail);
    void count_work(base::instant now);
    [[nodiscard]] model::resources sum_of_planned() const;
    [[nodiscard]] platform::worker_answer answer();

    model::endpoint m_self;
    base::duration m_clock_offset;
    base::duration m_usage_lag;
    double m_time_scale;
    checkpoint_store& m_checkpoints;
    history& m_seen;
    base::system_clock m_clock;
    std::mutex m_mutex;
    std::string m_incarnation;
    std::int64_t m_highest_epoch{0};
    std::map<model::attempt_id, simulated_task> m_running;
    std::map<model::attempt_id, std::int64_t> m_leases;
    std::map<model::attempt_id, platform::finished_task> m_finished;
};

} // namespace berylhill::stand_ins
