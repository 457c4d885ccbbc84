#include "replay_schedulers.hpp"

#include <limits>

namespace berylhill::bench
{

baseline_scheduler::baseline_scheduler(replay_input const& input, baseline way)
    : m_input{input}
    , m_way{way}
    , m_free(static_cast<std::size_t>(input.workers), input.capacity)
{
}

void baseline_scheduler::submit(std::int32_t job, double /*now_s*/)
{
    m_queue.push_back(job);
}

std::int32_t baseline_scheduler::find(model::resources const& need) const
{
    std::int32_t best = -1;
    auto least = std::numeric_limits<std::int64_t>::max();
    for (std::size_t n = 0; n < m_free.size(); ++n)
    {
        if (!need.fits_in(m_free[n]))
        {
            continue;
        }
        if (m_way != baseline::best_fit)
        {
            return static_cast<std::int32_t>(n);
        }
        auto const left = m_free[n].millicores + m_free[n].memory_mb / 4;
        if (left < least)
        {
            least = left;
            best = static_cast<std::int32_t>(n);
        }
    }
    return best;
}

bool baseline_scheduler::place(std::int32_t job,
                               std::vector<replay_start>& starts)
{
    auto const& it = m_input.jobs[static_cast<std::size_t>(job)].request;
    auto const before = m_free;
    auto const kept = starts.size();
    for (std::int32_t index = 0; index < it.tasks; ++index)
    {
        auto const worker = find(it.declared);
        if (worker < 0)
        {
            m_free = before;
            starts.resize(kept);
            return false;
        }
        auto& room = m_free[static_cast<std::size_t>(worker)];
        room = room - it.declared;
        starts.push_back({job, index, 1, worker});
    }
    return true;
}

std::vector<replay_start> baseline_scheduler::decide(double /*now_s*/)
{
    std::vector<replay_start> starts;
    for (auto it = m_queue.begin(); it != m_queue.end();)
    {
        if (place(*it, starts))
        {
            it = m_queue.erase(it);
            continue;
        }
        if (m_way == baseline::fifo)
        {
            break;
        }
        ++it;
    }
    return starts;
}

void baseline_scheduler::ended(replay_task const& it,
                               model::task_end /*end*/,
                               double /*now_s*/)
{
    auto& room = m_free[static_cast<std::size_t>(it.start.worker)];
    room =
        room +
        m_input.jobs[static_cast<std::size_t>(it.start.job)].request.declared;
}

} // namespace berylhill::bench
