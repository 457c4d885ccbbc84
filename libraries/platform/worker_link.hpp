#pragma once

#include <base/result.hpp>
#include <base/time.hpp>
#include <model/endpoint.hpp>
#include <model/job.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace berylhill::platform
{

/// Starts one attempt. The worker starts what it is given, fits or not, unless
/// its own clock has passed `lease_until`.
struct task_start
{
    model::attempt_id attempt;
    std::string contract;
    std::string name;
    model::resources planned;
    std::string command;
    /// Microseconds on the worker's own clock.
    std::int64_t lease_until{0};

    friend bool operator==(task_start const&, task_start const&) = default;
};

/// Slows an attempt to this share of the processors it would use.
struct task_throttle
{
    model::attempt_id attempt;
    double share{1};

    friend bool operator==(task_throttle const&,
                           task_throttle const&) = default;
};

/// One message to a worker: renewal, starts and stops together.
struct worker_request
{
    /// Of the group's owner; a worker refuses one below the highest it saw.
    std::int64_t epoch{0};
    /// Microseconds on the worker's own clock: the lease of all its tasks; 0
    /// asks for the inventory without renewing.
    std::int64_t renew_until{0};
    std::vector<task_start> starts;
    std::vector<model::attempt_id> stops;
    std::vector<model::attempt_id> checkpoints;
    std::vector<task_throttle> throttles;
    /// Results whose outcome is in the log; the worker forgets them.
    std::vector<model::attempt_id> acknowledged;

    friend bool operator==(worker_request const&,
                           worker_request const&) = default;
};

/// An attempt that is running now.
struct running_task
{
    model::attempt_id attempt;
    std::string contract;
    std::string name;
    model::resources planned;
    /// As measured, with a lag.
    model::resources used;

    friend bool operator==(running_task const&, running_task const&) = default;
};

/// An attempt that has ended and is kept until acknowledged.
struct finished_task
{
    model::attempt_id attempt;
    std::string contract;
    std::string name;
    model::task_end end{model::task_end::succeeded};
    model::resources peak;
    double run_s{0};
    std::string detail;

    friend bool operator==(finished_task const&,
                           finished_task const&) = default;
};

/// A worker's whole state after it took the request.
struct worker_answer
{
    /// Microseconds on the worker's own clock.
    std::int64_t clock{0};
    /// Rises when the worker process starts anew: its tasks are gone.
    std::string incarnation;
    std::vector<running_task> running;
    std::vector<finished_task> finished;

    friend bool operator==(worker_answer const&,
                           worker_answer const&) = default;
};

/// Speaks to workers. Implementations are thread-safe and block.
class worker_link
{
public:
    worker_link() = default;
    worker_link(worker_link const&) = delete;
    worker_link& operator=(worker_link const&) = delete;
    virtual ~worker_link() = default;

    /// One request and its answer, within `timeout`. Fails with `unavailable`
    /// when nothing was sent, `superseded` when the worker saw a higher epoch,
    /// and `outcome_unknown` otherwise.
    [[nodiscard]] virtual base::result<worker_answer>
    exchange(model::endpoint const& worker,
             worker_request const& request,
             base::duration timeout) = 0;
};

} // namespace berylhill::platform
