#include <entry/job_shard_actor.hpp>

#include <base/log.hpp>
#include <entry/entry_node.hpp>
#include <model/json.hpp>

#include <algorithm>
#include <utility>

namespace berylhill::entry
{

namespace
{

using base::failure_code;

constexpr double s_retry_s = 0.5;
constexpr std::size_t s_most_listed = 1'000;

Json::Value accepted_json(std::string const& job, bool repeated)
{
    Json::Value out{Json::objectValue};
    out["id"] = job;
    out["repeated"] = repeated;
    return out;
}

} // namespace

void job_shard_actor::submit(job_submitted const& it)
{
    if (m_queue == nullptr || !acting())
    {
        it.answer.set(not_ready());
        return;
    }
    if (m_book.find(it.job) != nullptr)
    {
        it.answer.set(accepted_json(it.job, false));
        return;
    }
    auto const key = std::pair{it.request.contract, it.request.key};
    if (!it.request.key.empty())
    {
        if (auto const first = m_book.job_of_key(key.first, key.second))
        {
            it.answer.set(accepted_json(*first, *first != it.job));
            return;
        }
        if (!m_keys_pending.insert(key).second)
        {
            it.answer.set(base::failure{failure_code::unavailable,
                                        "the first job of this key is being "
                                        "written",
                                        s_retry_s});
            return;
        }
    }
    auto const admissible =
        base::capture([&] { return m_queue->check_admission(it.request); });
    if (!admissible)
    {
        m_keys_pending.erase(key);
        it.answer.set(admissible.error());
        return;
    }
    jobs::job_accepted const record{it.job, it.request, m_node.clock.wall_us()};
    append(record,
           [this, it, record](base::outcome<stream::position> const& written)
           { accept(it, record, written); });
}

void job_shard_actor::accept(job_submitted const& it,
                             jobs::job_accepted const& record,
                             base::outcome<stream::position> const& written)
{
    m_keys_pending.erase({it.request.contract, it.request.key});
    if (!written)
    {
        auto why = written.error();
        if (why.code == failure_code::unavailable)
        {
            // Told apart from an owner that cannot be reached, which is tried
            // again: this refusal goes to the caller at once.
            why.code = failure_code::log_unavailable;
        }
        it.answer.set(why);
        return;
    }
    auto const now = m_node.clock.now();
    m_queue->restore(it.job, record.request, now);
    base::log(base::log_level::info, "job_accepted",
              {{"job", it.job},
               {"contract", it.request.contract},
               {"tasks", it.request.tasks}});
    it.answer.set(accepted_json(it.job, false));
    decide(now);
    flush();
}

Json::Value job_shard_actor::job_json(std::string const& job) const
{
    auto const& entry = *m_book.find(job);
    auto const view = m_queue->status_of(job);
    Json::Value out{Json::objectValue};
    out["id"] = job;
    out["contract"] = entry.request.contract;
    out["name"] = entry.request.name;
    out["kind"] = std::string{model::name_of(entry.request.kind)};
    auto const state = !model::is_final(entry.state) && view
                           ? std::min(view->state, model::job_state::running)
                           : entry.state;
    out["state"] = std::string{model::name_of(state)};
    out["tasks"] = entry.request.tasks;
    out["tasks_running"] = view ? view->running : 0;
    out["tasks_done"] = static_cast<Json::Int64>(entry.done.size());
    out["tasks_failed"] = view ? view->failed : 0;
    out["accepted_at_us"] = Json::Int64{entry.accepted_at_us};
    auto const started = m_started_at_us.find(job);
    out["started_at_us"] =
        Json::Int64{started == m_started_at_us.end() ? 0 : started->second};
    out["ended_at_us"] = Json::Int64{entry.ended_at_us};
    out["reason"] = entry.detail;
    return out;
}

void job_shard_actor::show(job_shown const& it)
{
    if (m_queue == nullptr || !acting())
    {
        it.answer.set(not_ready());
        return;
    }
    auto const* const entry = m_book.find(it.job);
    if (entry == nullptr)
    {
        it.answer.set(
            base::failure{failure_code::not_found, "no job " + it.job, 0});
        return;
    }
    if (model::is_final(entry->state) || it.wait <= base::duration::zero())
    {
        it.answer.set(job_json(it.job));
        return;
    }
    m_waiters.push_back({it.job, m_node.clock.now() + it.wait, it.answer});
}

void job_shard_actor::wake_waiters(base::instant now)
{
    std::erase_if(m_waiters,
                  [&](waiter const& it)
                  {
                      auto const* const entry = m_book.find(it.job);
                      if (entry != nullptr && now < it.until &&
                          !model::is_final(entry->state))
                      {
                          return false;
                      }
                      if (entry != nullptr)
                      {
                          it.answer.set(job_json(it.job));
                      }
                      return true;
                  });
}

void job_shard_actor::cancel(job_cancelled const& it)
{
    if (m_queue == nullptr || !acting())
    {
        it.answer.set(not_ready());
        return;
    }
    auto const* const entry = m_book.find(it.job);
    if (entry == nullptr)
    {
        it.answer.set(
            base::failure{failure_code::not_found, "no job " + it.job, 0});
        return;
    }
    if (model::is_final(entry->state))
    {
        it.answer.set(job_json(it.job));
        return;
    }
    if (!m_queue->status_of(it.job) && m_phase != phase::complete)
    {
        it.answer.set(not_ready());
        return;
    }
    // Answered when the outcome is in the log.
    m_waiters.push_back(
        {it.job, m_node.clock.now() + std::chrono::seconds{5}, it.answer});
    run(m_queue->cancel(it.job, m_node.clock.now()));
    flush();
}

void job_shard_actor::list(jobs_listed const& it)
{
    if (m_queue == nullptr || !acting())
    {
        it.answer.set(not_ready());
        return;
    }
    Json::Value out{Json::objectValue};
    out["jobs"] = Json::Value{Json::arrayValue};
    for (auto const& known : m_book.jobs())
    {
        if (!it.contract.empty() &&
            known.second.request.contract != it.contract)
        {
            continue;
        }
        auto one = job_json(known.first);
        if (it.state.empty() || one["state"].asString() == it.state)
        {
            out["jobs"].append(std::move(one));
        }
        if (out["jobs"].size() >= s_most_listed)
        {
            break;
        }
    }
    it.answer.set(std::move(out));
}

} // namespace berylhill::entry
