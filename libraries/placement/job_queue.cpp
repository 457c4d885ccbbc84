#include <placement/job_queue.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

namespace berylhill::placement
{

namespace
{

constexpr double s_retry_after_s = 5;
constexpr std::size_t s_min_classes_to_sweep = 1024;

bool may_run(task_phase it)
{
    return it == task_phase::ordered || it == task_phase::held ||
           it == task_phase::committed || it == task_phase::running;
}

std::string text_of(model::resources const& it)
{
    return std::to_string(it.millicores) + " millicores, " +
           std::to_string(it.memory_mb) + " MB, " +
           std::to_string(it.accelerators) + " accelerators";
}

} // namespace

job_queue::job_queue(std::uint64_t seed, std::int32_t first_attempt)
    : m_random{seed}
    , m_first_attempt{first_attempt}
{
}

void job_queue::set_contract(model::contract const& it)
{
    auto const next = static_cast<std::int32_t>(m_accounts.size());
    auto const [found, added] = m_account_index.emplace(it.name, next);
    if (added)
    {
        m_accounts.push_back(std::make_unique<contract_account>(it));
        return;
    }
    m_accounts[static_cast<std::size_t>(found->second)]->set_contract(it);
}

void job_queue::update_group(group_digest const& it, base::instant /*now*/)
{
    m_groups.update(it);
}

void job_queue::remove_group(std::string const& group)
{
    m_groups.remove(group);
}

base::result<base::done>
job_queue::check(contract_account const& it,
                 model::job_request const& request) const
{
    using base::failure_code;
    auto const& contract = it.contract();
    if (request.tasks < 1)
    {
        return base::fail(failure_code::invalid,
                          "a job needs at least one task");
    }
    auto const& largest = m_groups.largest_worker();
    auto const expected = m_estimator.estimate_for(request, largest);
    auto const has_workers = !largest.empty();
    auto const need =
        expected.confidence > 0 ? expected.peak : request.declared;
    if (has_workers && !need.fits_in(largest))
    {
        return base::fail(failure_code::invalid,
                          "no worker is large enough: one task needs " +
                              text_of(need) + ", the largest worker has " +
                              text_of(largest));
    }
    auto const concurrent_tasks =
        request.kind == model::job_kind::batch ? 1 : request.tasks;
    if (!(need * concurrent_tasks).fits_in(contract.quota))
    {
        return base::fail(failure_code::invalid,
                          "the contract's quota is too small: the job needs " +
                              text_of(need * concurrent_tasks) +
                              " at once, the quota is " +
                              text_of(contract.quota));
    }
    if (concurrent_tasks > contract.tasks_at_once)
    {
        return base::fail(failure_code::invalid,
                          "the contract allows " +
                              std::to_string(contract.tasks_at_once) +
                              " tasks at once, the job needs " +
                              std::to_string(concurrent_tasks));
    }
    if (has_workers && request.kind == model::job_kind::gang &&
        m_groups.slots_when_empty(need) < concurrent_tasks)
    {
        return base::fail(failure_code::invalid,
                          "all workers together are too small: they can run " +
                              std::to_string(m_groups.slots_when_empty(need)) +
                              " such tasks at once, the gang has " +
                              std::to_string(concurrent_tasks));
    }
    if (it.jobs >= contract.jobs_at_once)
    {
        return base::fail(failure_code::refused,
                          "the contract has reached its maximum number of jobs",
                          s_retry_after_s);
    }
    return base::done{};
}

base::result<base::done> job_queue::submit(std::string const& id,
                                           model::job_request const& request,
                                           base::instant now)
{
    if (m_jobs.contains(id))
    {
        return base::done{};
    }
    BOOST_LEAF_CHECK(check_admission(request));
    add(id, request, now);
    return base::done{};
}

base::result<base::done>
job_queue::check_admission(model::job_request const& request) const
{
    auto const found = m_account_index.find(request.contract);
    if (found == m_account_index.end())
    {
        return base::fail(base::failure_code::not_found,
                          "no contract '" + request.contract + "'");
    }
    auto const& it = *m_accounts[static_cast<std::size_t>(found->second)];
    return check(it, request);
}

void job_queue::restore(std::string const& id,
                        model::job_request const& request,
                        base::instant accepted_at)
{
    if (m_jobs.contains(id))
    {
        return;
    }
    if (!m_account_index.contains(request.contract))
    {
        // The contract was removed; jobs accepted under it still run.
        model::contract it;
        it.name = request.contract;
        set_contract(it);
    }
    add(id, request, accepted_at);
}

job_queue::job_pointer job_queue::add(std::string const& id,
                                      model::job_request const& request,
                                      base::instant accepted_at)
{
    auto job = std::make_shared<job_record>();
    job->id = id;
    job->request = request;
    job->account = m_account_index.at(request.contract);
    job->accepted_at = accepted_at;
    if (request.deadline_s > 0)
    {
        job->deadline = accepted_at + base::from_seconds(request.deadline_s);
    }
    job->tasks.resize(static_cast<std::size_t>(request.tasks));
    job->unfinished = request.tasks;
    for (auto& it : job->tasks)
    {
        it.number = m_first_attempt - 1;
    }
    for (auto index = request.tasks - 1; index >= 0; --index)
    {
        job->waiting.push_back(index);
    }
    m_waiting_tasks += request.tasks;
    m_jobs.emplace(id, job);
    account_of(*job).jobs += 1;
    job->of_class = class_of(*job);
    auto& members = job->of_class->members;
    job->member_index = members.size();
    members.push_back(job.get());
    enqueue(job);
    return job;
}

std::shared_ptr<job_class> job_queue::class_of(job_record const& job)
{
    auto const& it = job.request;
    auto const key = it.name + '/' + std::to_string(static_cast<int>(it.kind)) +
                     '/' + std::to_string(static_cast<int>(it.urgent)) + '/' +
                     std::to_string(it.declared.millicores) + '/' +
                     std::to_string(it.declared.memory_mb) + '/' +
                     std::to_string(it.declared.accelerators);
    auto& classes = account_of(job).classes;
    if (classes.size() >= s_min_classes_to_sweep)
    {
        std::erase_if(classes,
                      [](auto const& each) { return each.second.expired(); });
    }
    auto& known = classes[key];
    auto found = known.lock();
    if (found == nullptr)
    {
        found = std::make_shared<job_class>();
        found->key = key;
        found->account = job.account;
        found->urgent = it.urgent == model::urgency::urgent;
        known = found;
    }
    return found;
}

void job_queue::enqueue(job_pointer const& job)
{
    if (job->queued || job->waiting.empty())
    {
        return;
    }
    job->queued = true;
    auto& queue = job->of_class->jobs;
    // Jobs are ordered by acceptance, so a job that is queued again precedes
    // jobs accepted after it.
    queue.insert(std::upper_bound(queue.begin(), queue.end(), job,
                                  [](auto const& a, auto const& b)
                                  { return a->accepted_at < b->accepted_at; }),
                 job);
    if (!job->of_class->active)
    {
        job->of_class->active = true;
        auto& account = account_of(*job);
        account.active.push_back(job->of_class);
        account.active_urgent += job->of_class->urgent ? 1 : 0;
    }
}

void job_queue::make_waiting(job_record& job, std::int32_t index)
{
    auto& it = job.tasks[static_cast<std::size_t>(index)];
    it.phase = task_phase::waiting;
    it.group = -1;
    job.waiting.push_back(index);
    m_waiting_tasks += 1;
}

void job_queue::clear_waiting(job_record& job)
{
    m_waiting_tasks -= static_cast<std::int64_t>(job.waiting.size());
    job.waiting.clear();
}

job_queue::job_pointer job_queue::find(std::string const& job) const
{
    auto const it = m_jobs.find(job);
    return it == m_jobs.end() ? nullptr : it->second;
}

contract_account& job_queue::account_of(job_record const& it)
{
    return *m_accounts[static_cast<std::size_t>(it.account)];
}

queue_actions job_queue::release_all(job_record& job)
{
    queue_actions actions;
    for (std::int32_t index = 0; index < job.request.tasks; ++index)
    {
        auto& it = job.tasks[static_cast<std::size_t>(index)];
        if (!may_run(it.phase))
        {
            continue;
        }
        if (it.phase == task_phase::ordered)
        {
            m_groups.on_answered(it.group, it.planned);
        }
        else if (it.phase == task_phase::running)
        {
            job.spread[it.group] -= 1;
        }
        actions.releases.push_back(
            {m_groups.name_of(it.group), {{job.id, index}, it.number}});
        it.phase = task_phase::stopping;
    }
    return actions;
}

queue_actions job_queue::finish_job(job_record& job,
                                    model::job_state state,
                                    std::string detail)
{
    auto actions = release_all(job);
    auto& account = account_of(job);
    for (auto& it : job.tasks)
    {
        account.refund(it);
    }
    clear_waiting(job);
    account.jobs -= 1;
    job.state = state;
    if (job.queued)
    {
        job.of_class->finished += 1;
    }
    auto& members = job.of_class->members;
    members[job.member_index] = members.back();
    members[job.member_index]->member_index = job.member_index;
    members.pop_back();
    drop_reservation(job.id);
    actions.outcomes.push_back({job.id, state, std::move(detail)});
    m_jobs.erase(job.id);
    return actions;
}

queue_actions job_queue::cancel(std::string const& job, base::instant /*now*/)
{
    auto const it = find(job);
    if (it == nullptr)
    {
        return {};
    }
    return finish_job(*it, model::job_state::cancelled, "cancelled");
}

std::optional<job_status> job_queue::status_of(std::string const& job) const
{
    auto const it = find(job);
    if (it == nullptr)
    {
        return std::nullopt;
    }
    job_status view;
    view.request = it->request;
    view.state = it->state;
    for (auto const& task : it->tasks)
    {
        view.waiting += task.phase == task_phase::waiting ? 1 : 0;
        view.running += task.phase == task_phase::running ? 1 : 0;
        view.done += task.phase == task_phase::done ? 1 : 0;
        view.failed +=
            task.failures > 0 && task.phase != task_phase::done ? 1 : 0;
    }
    return view;
}

model::resources job_queue::usage_of(std::string const& contract) const
{
    auto const it = m_account_index.find(contract);
    return it == m_account_index.end()
               ? model::resources{}
               : m_accounts[static_cast<std::size_t>(it->second)]->used();
}

} // namespace berylhill::placement
