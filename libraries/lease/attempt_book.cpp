#include <lease/attempt_book.hpp>

#include <cassert>

namespace berylhill::lease
{

placement attempt_book::may_place(model::task_id const& task) const
{
    auto const* it = newest(task);
    if (it == nullptr || it->state == attempt_state::over)
    {
        return placement::allowed;
    }
    if (it->state == attempt_state::running)
    {
        return placement::runs;
    }
    return it->safety == model::rerun::idempotent ? placement::allowed
                                                  : placement::may_have_run;
}

model::attempt_id attempt_book::begin(model::task_id const& task,
                                      std::string const& worker,
                                      model::rerun safety)
{
    assert(may_place(task) == placement::allowed);
    auto& it = m_newest[task];
    it = {it.number + 1, worker, safety, attempt_state::running};
    m_running[worker].insert(task);
    return {task, it.number};
}

bool attempt_book::adopt(model::attempt_id const& it,
                         std::string const& worker,
                         model::rerun safety)
{
    auto const* known = newest(it.task);
    if (known != nullptr)
    {
        if (known->number > it.number)
        {
            return false;
        }
        if (known->number == it.number)
        {
            return known->worker == worker &&
                   known->state == attempt_state::running;
        }
        lost({it.task, known->number});
    }
    m_newest[it.task] = {it.number, worker, safety, attempt_state::running};
    m_running[worker].insert(it.task);
    return true;
}

verdict attempt_book::finish(model::attempt_id const& it)
{
    auto const found = m_newest.find(it.task);
    if (found == m_newest.end() || found->second.number != it.number ||
        found->second.state == attempt_state::lost)
    {
        return verdict::late;
    }
    if (found->second.state == attempt_state::over)
    {
        return verdict::repeated;
    }
    end(it.task, found->second, attempt_state::over);
    return verdict::accepted;
}

void attempt_book::never_started(model::attempt_id const& it)
{
    (void)finish(it);
}

std::vector<model::attempt_id>
attempt_book::lost_worker(std::string const& worker)
{
    auto ended = running_on(worker);
    for (auto const& it : ended)
    {
        lost(it);
    }
    return ended;
}

void attempt_book::lost(model::attempt_id const& it)
{
    auto const found = m_newest.find(it.task);
    if (found == m_newest.end() || found->second.number != it.number ||
        found->second.state != attempt_state::running)
    {
        return;
    }
    end(it.task, found->second, attempt_state::lost);
}

void attempt_book::forget(model::task_id const& task)
{
    auto const found = m_newest.find(task);
    if (found == m_newest.end())
    {
        return;
    }
    end(task, found->second, attempt_state::over);
    m_newest.erase(found);
}

attempt_book::attempt const*
attempt_book::newest(model::task_id const& task) const
{
    auto const it = m_newest.find(task);
    return it == m_newest.end() ? nullptr : &it->second;
}

std::vector<model::attempt_id>
attempt_book::running_on(std::string const& worker) const
{
    std::vector<model::attempt_id> found;
    auto const tasks = m_running.find(worker);
    if (tasks == m_running.end())
    {
        return found;
    }
    for (auto const& it : tasks->second)
    {
        found.push_back({it, m_newest.at(it).number});
    }
    return found;
}

void attempt_book::end(model::task_id const& task,
                       attempt& it,
                       attempt_state state)
{
    it.state = state;
    auto const tasks = m_running.find(it.worker);
    if (tasks == m_running.end())
    {
        return;
    }
    tasks->second.erase(task);
    if (tasks->second.empty())
    {
        m_running.erase(tasks);
    }
}

} // namespace berylhill::lease
