#include <stand_ins/worker_stand_in.hpp>

#include <base/hash.hpp>
#include <model/json.hpp>

#include <algorithm>
#include <utility>

namespace berylhill::stand_ins
{

void checkpoint_store::keep(model::task_id const& it, base::duration worked)
{
    std::lock_guard const lock{m_mutex};
    m_progress[it] = worked;
}

base::duration checkpoint_store::progress(model::task_id const& it) const
{
    std::lock_guard const lock{m_mutex};
    auto const known = m_progress.find(it);
    return known == m_progress.end() ? base::duration{0} : known->second;
}

worker_stand_in::worker_stand_in(model::endpoint self,
                                 base::duration clock_offset,
                                 base::duration usage_lag,
                                 double time_scale,
                                 checkpoint_store& checkpoints,
                                 history& seen)
    : m_self{std::move(self)}
    , m_clock_offset{clock_offset}
    , m_usage_lag{usage_lag}
    , m_time_scale{time_scale}
    , m_checkpoints{checkpoints}
    , m_seen{seen}
    , m_incarnation{base::random_id()}
{
}

std::int64_t worker_stand_in::local_us() const
{
    return (m_clock.now().time_since_epoch() + m_clock_offset).count();
}

std::optional<platform::worker_answer>
worker_stand_in::exchange(platform::worker_request const& request)
{
    std::lock_guard const lock{m_mutex};
    if (request.epoch < m_highest_epoch)
    {
        return std::nullopt;
    }
    m_highest_epoch = request.epoch;
    take(request);
    return answer();
}

void worker_stand_in::take(platform::worker_request const& request)
{
    count_work(m_clock.now());
    if (request.renew_until != 0)
    {
        for (auto& it : m_leases)
        {
            it.second = std::max(it.second, request.renew_until);
        }
    }
    for (auto const& it : request.stops)
    {
        end(it, model::task_end::stopped, "on request");
    }
    for (auto const& it : request.checkpoints)
    {
        auto const running = m_running.find(it);
        if (running != m_running.end())
        {
            m_checkpoints.keep(it.task, running->second.worked);
        }
        end(it, model::task_end::checkpointed, "on request");
    }
    for (auto const& it : request.throttles)
    {
        auto const running = m_running.find(it.attempt);
        if (running != m_running.end())
        {
            running->second.share = std::clamp(it.share, 0.01, 1.0);
        }
    }
    for (auto const& it : request.acknowledged)
    {
        m_finished.erase(it);
    }
    for (auto const& it : request.starts)
    {
        start(it);
    }
}

void worker_stand_in::start(platform::task_start const& it)
{
    if (m_running.contains(it.attempt) || m_finished.contains(it.attempt))
    {
        return; // A repeated start of the same attempt changes nothing.
    }
    Json::Value details = model::to_json(it.attempt);
    if (it.lease_until <= local_us())
    {
        m_seen.add("start_refused", m_self.id, details);
        m_finished[it.attempt] = {it.attempt,
                                  it.contract,
                                  it.name,
                                  model::task_end::lapsed,
                                  {},
                                  0,
                                  "its lease had lapsed"};
        return;
    }
    auto const now = m_clock.now();
    simulated_task task{it, truth_of(it, m_time_scale), now, now, {}, 1};
    task.worked = m_checkpoints.progress(it.attempt.task);
    if (fails_everything)
    {
        task.truth.run = base::duration::zero();
        task.truth.end = model::task_end::failed;
    }
    m_running.emplace(it.attempt, std::move(task));
    m_leases[it.attempt] = it.lease_until;
    details["tag"] = m_running.at(it.attempt).truth.tag;
    details["contract"] = it.contract;
    details["name"] = it.name;
    details["planned"] = model::to_json(it.planned);
    details["sum"] = model::to_json(sum_of_planned());
    details["capacity"] = model::to_json(m_self.capacity);
    m_seen.add("start", m_self.id, details);
}

void worker_stand_in::end(model::attempt_id const& it,
                          model::task_end how,
                          std::string const& detail)
{
    auto const running = m_running.find(it);
    if (running == m_running.end())
    {
        return;
    }
    auto const& task = running->second;
    auto const run_s = base::seconds_of(m_clock.now() - task.started);
    m_finished[it] = {it,    task.start.contract, task.start.name,
                      how,   task.truth.use,      run_s,
                      detail};
    Json::Value details = model::to_json(it);
    details["end"] = std::string{model::name_of(how)};
    details["run_s"] = run_s;
    m_running.erase(running);
    m_leases.erase(it);
    m_seen.add("end", m_self.id, details);
}

void worker_stand_in::count_work(base::instant now)
{
    std::int64_t wanted = 0;
    for (auto const& it : m_running)
    {
        wanted += it.second.used().millicores;
    }
    // More than the machine has: all get slower alike.
    auto const speed = wanted <= m_self.capacity.millicores
                           ? 1.0
                           : static_cast<double>(m_self.capacity.millicores) /
                                 static_cast<double>(wanted);
    for (auto& it : m_running)
    {
        auto& task = it.second;
        auto const passed = base::seconds_of(now - task.counted);
        task.worked += base::from_seconds(passed * speed * task.share);
        task.counted = now;
    }
}

void worker_stand_in::tick()
{
    std::lock_guard const lock{m_mutex};
    count_work(m_clock.now());
    std::vector<std::pair<model::attempt_id, model::task_end>> ended;
    auto const local = local_us();
    for (auto const& it : m_running)
    {
        if (m_leases[it.first] <= local)
        {
            ended.emplace_back(it.first, model::task_end::lapsed);
        }
        else if (it.second.worked >= it.second.truth.run)
        {
            ended.emplace_back(it.first, it.second.truth.end);
        }
    }
    for (auto const& it : ended)
    {
        end(it.first, it.second, "");
    }
}

void worker_stand_in::restart()
{
    std::lock_guard const lock{m_mutex};
    while (!m_running.empty())
    {
        end(m_running.begin()->first, model::task_end::lapsed, "restarted");
    }
    m_finished.clear();
    m_incarnation = base::random_id();
    m_seen.add("restart", m_self.id);
}

model::resources worker_stand_in::sum_of_planned() const
{
    model::resources sum;
    for (auto const& it : m_running)
    {
        sum = sum + it.second.start.planned;
    }
    return sum;
}

platform::worker_answer worker_stand_in::answer()
{
    platform::worker_answer value;
    value.clock = local_us();
    value.incarnation = m_incarnation;
    auto const now = m_clock.now();
    for (auto const& it : m_running)
    {
        auto const& task = it.second;
        auto const known = now - task.started >= m_usage_lag;
        value.running.push_back({it.first, task.start.contract, task.start.name,
                                 task.start.planned,
                                 known ? task.used() : model::resources{}});
    }
    for (auto const& it : m_finished)
    {
        value.finished.push_back(it.second);
    }
    return value;
}

} // namespace berylhill::stand_ins
