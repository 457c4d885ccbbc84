#pragma once

#include "quantiles.hpp"

#include <base/time.hpp>
#include <model/contract.hpp>
#include <model/job.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// Replays arrivals against decision code in virtual time, with fake workers
/// whose tasks use other than what was declared. A bench of decisions only.
namespace berylhill::bench
{

/// A job with what it truly takes.
struct replay_job
{
    double arrives_s{0};
    model::job_request request;
    /// True peak and run time over the declared ones.
    double size_factor{1};
    double run_factor{1};
};

struct replay_input
{
    std::string name;
    std::int32_t workers{50};
    std::int32_t rack_size{8};
    model::resources capacity;
    std::vector<model::contract> contracts;
    std::vector<replay_job> jobs;
};

/// Worker `worker` starts task `index` of job `job`.
struct replay_start
{
    std::int32_t job{0};
    std::int32_t index{0};
    std::int32_t number{0};
    std::int32_t worker{0};
};

/// A running task in the fake fleet.
struct replay_task
{
    replay_start start;
    double started_s{0};
    double work_s{0};
    double done_s{0};
    double share{1};
    model::resources peak;
    model::resources used;
    model::resources largest;
    /// What the last report said, two seconds late.
    model::resources reported;
    bool checkpoint{false};
    bool stop{false};
};

/// Decision code under replay.
class replay_scheduler
{
public:
    replay_scheduler() = default;
    replay_scheduler(replay_scheduler const&) = delete;
    replay_scheduler& operator=(replay_scheduler const&) = delete;
    virtual ~replay_scheduler() = default;

    virtual void submit(std::int32_t job, double now_s) = 0;
    virtual std::vector<replay_start> decide(double now_s) = 0;
    virtual void
    ended(replay_task const& it, model::task_end end, double now_s) = 0;
    /// A worker's lagged report; may throttle and checkpoint its tasks.
    virtual void
    report(std::int32_t worker, std::vector<replay_task*> tasks, double now_s);
    [[nodiscard]] virtual bool queue_empty() const = 0;
};

struct replay_result
{
    /// Share of all cores in true use while something waited.
    double packing{0};
    double end_s{0};
    /// Worker seconds with true use over what the worker holds.
    double overfull_s{0};
    std::int64_t unfinished{0};
    std::int64_t checkpoints{0};
    quantiles waiting;
    std::map<std::string, quantiles> waiting_by_kind;
};

[[nodiscard]] replay_result run_replay(replay_input const& input,
                                       replay_scheduler& scheduler);

[[nodiscard]] replay_input kitakaze_month_end(std::uint64_t seed);
[[nodiscard]] replay_input cantabrica_race_day(std::uint64_t seed);

} // namespace berylhill::bench
