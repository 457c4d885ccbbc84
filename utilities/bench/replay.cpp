#include "replay.hpp"

#include <algorithm>
#include <cmath>
#include <optional>
#include <set>

namespace berylhill::bench
{

namespace
{

constexpr double s_tick = 0.25;
constexpr double s_report_every = 2;
constexpr double s_longest = 40'000;
/// The share of its run after which a task is at its peak.
constexpr double s_ramp = 0.3;
constexpr double s_first_use = 0.2;

model::resources scaled(model::resources const& it, double by)
{
    return {static_cast<std::int64_t>(it.millicores * by),
            static_cast<std::int64_t>(it.memory_mb * by), it.accelerators};
}

std::string kind_of(model::job_request const& it)
{
    if (it.urgent == model::urgency::urgent)
    {
        return "urgent";
    }
    return it.kind == model::job_kind::gang ? "gang" : "batch";
}

/// The fake fleet and the loop over virtual time.
class replay
{
public:
    replay(replay_input const& input, replay_scheduler& scheduler)
        : m_input{input}
        , m_scheduler{scheduler}
        , m_tasks(static_cast<std::size_t>(input.workers))
    {
        for (auto const& it : input.jobs)
        {
            m_left += it.request.tasks;
        }
    }

    replay_result run()
    {
        for (; m_left > 0 && m_now < s_longest; m_now += s_tick)
        {
            arrive();
            advance();
            if (std::fmod(m_now, s_report_every) < s_tick)
            {
                report();
            }
            for (auto const& it : m_scheduler.decide(m_now))
            {
                start(it);
            }
            measure();
        }
        m_result.packing = m_waiting_s > 0 ? m_used_s / m_waiting_s : 0;
        m_result.end_s = m_now;
        m_result.unfinished = m_left;
        return m_result;
    }

private:
    void arrive()
    {
        while (m_next < m_input.jobs.size() &&
               m_input.jobs[m_next].arrives_s <= m_now)
        {
            m_scheduler.submit(static_cast<std::int32_t>(m_next), m_now);
            m_next += 1;
        }
    }

    void start(replay_start const& it)
    {
        auto const& job = m_input.jobs[static_cast<std::size_t>(it.job)];
        replay_task task;
        task.start = it;
        task.started_s = m_now;
        task.work_s = job.request.declared_run_s * job.run_factor;
        task.done_s = m_kept[{it.job, it.index}];
        task.peak = scaled(job.request.declared, job.size_factor);
        set_use(task);
        m_tasks[static_cast<std::size_t>(it.worker)].push_back(task);
        if (m_started.insert({it.job, it.index}).second)
        {
            auto const waited = std::max(m_now - job.arrives_s, s_tick);
            m_result.waiting.add(waited);
            m_result.waiting_by_kind[kind_of(job.request)].add(waited);
        }
    }

    static void set_use(replay_task& it)
    {
        auto const grown = std::min(1.0, it.done_s / (it.work_s * s_ramp));
        auto const now = s_first_use + (1 - s_first_use) * grown;
        it.used = scaled(it.peak, now);
        it.used.millicores = static_cast<std::int64_t>(
            static_cast<double>(it.used.millicores) * it.share);
        it.largest = model::largest_of(it.largest, it.used);
    }

    /// Whether the task goes on; otherwise how it ended.
    static std::optional<model::task_end> advance_task(replay_task& it)
    {
        it.done_s += s_tick * it.share;
        set_use(it);
        if (it.done_s >= it.work_s)
        {
            return model::task_end::succeeded;
        }
        if (it.stop)
        {
            it.done_s = 0;
            return model::task_end::stopped;
        }
        if (it.checkpoint)
        {
            return model::task_end::checkpointed;
        }
        return std::nullopt;
    }

    void advance()
    {
        std::vector<std::pair<replay_task, model::task_end>> over;
        for (auto& tasks : m_tasks)
        {
            std::erase_if(tasks,
                          [&](replay_task& it)
                          {
                              auto const end = advance_task(it);
                              if (end)
                              {
                                  over.emplace_back(it, *end);
                              }
                              return end.has_value();
                          });
        }
        for (auto const& [it, end] : over)
        {
            auto const done = end == model::task_end::succeeded;
            m_left -= done ? 1 : 0;
            m_result.checkpoints +=
                end == model::task_end::checkpointed ? 1 : 0;
            m_kept[{it.start.job, it.start.index}] = it.done_s;
            m_scheduler.ended(it, end, m_now);
        }
    }

    void report()
    {
        for (std::size_t n = 0; n < m_tasks.size(); ++n)
        {
            std::vector<replay_task*> tasks;
            for (auto& it : m_tasks[n])
            {
                tasks.push_back(&it);
            }
            m_scheduler.report(static_cast<std::int32_t>(n), tasks, m_now);
            for (auto& it : m_tasks[n])
            {
                it.reported = it.used;
            }
        }
    }

    void measure()
    {
        model::resources all;
        for (auto const& tasks : m_tasks)
        {
            model::resources used;
            for (auto const& it : tasks)
            {
                used = used + it.used;
            }
            all = all + used;
            m_result.overfull_s += used.fits_in(m_input.capacity) ? 0 : s_tick;
        }
        if (!m_scheduler.queue_empty())
        {
            auto const whole = m_input.capacity.millicores * m_input.workers;
            m_used_s += s_tick * static_cast<double>(all.millicores) /
                        static_cast<double>(whole);
            m_waiting_s += s_tick;
        }
    }

    replay_input const& m_input;
    replay_scheduler& m_scheduler;
    std::vector<std::vector<replay_task>> m_tasks;
    std::map<std::pair<std::int32_t, std::int32_t>, double> m_kept;
    std::set<std::pair<std::int32_t, std::int32_t>> m_started;
    replay_result m_result;
    std::size_t m_next{0};
    std::int64_t m_left{0};
    double m_now{0};
    double m_used_s{0};
    double m_waiting_s{0};
};

} // namespace

void replay_scheduler::report(std::int32_t /*worker*/,
                              std::vector<replay_task*> /*tasks*/,
                              double /*now_s*/)
{
}

replay_result run_replay(replay_input const& input, replay_scheduler& scheduler)
{
    return replay{input, scheduler}.run();
}

} // namespace berylhill::bench
