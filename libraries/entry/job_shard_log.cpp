#include <entry/job_shard_actor.hpp>

#include <base/log.hpp>
#include <entry/entry_node.hpp>

#include <caf/all.hpp>

#include <chrono>
#include <memory>
#include <utility>

namespace berylhill::entry
{

namespace
{

constexpr base::duration s_age_every = std::chrono::seconds{10};
constexpr double s_default_retention_s = 86'400;

std::string job_of(jobs::record const& it)
{
    if (auto const* const accepted = std::get_if<jobs::job_accepted>(&it))
    {
        return accepted->job;
    }
    if (auto const* const intent = std::get_if<jobs::start_intent>(&it))
    {
        return intent->attempt.task.job;
    }
    if (auto const* const done = std::get_if<jobs::task_done>(&it))
    {
        return done->task.job;
    }
    if (auto const* const ended = std::get_if<jobs::job_ended>(&it))
    {
        return ended->job;
    }
    return {};
}

} // namespace

/// Answers once everything that the log has to hold of these ends is there.
void job_shard_actor::take_ends(ends_reported const& it)
{
    if (m_phase != phase::complete || !acting())
    {
        it.answer.set(not_ready());
        return;
    }
    struct gathering
    {
        ends_answer answer;
        std::size_t left{0};
    };
    auto const all = std::make_shared<gathering>();
    all->left = it.report.ends.size();
    for (auto const& end : it.report.ends)
    {
        auto const settle = [this, all, end, group = it.report.group,
                             answer = it.answer](bool taken)
        {
            auto& outbox = m_outboxes[group];
            if (taken)
            {
                outbox.forget(end.attempt);
                all->answer.taken.push_back(end.attempt);
            }
            all->left -= 1;
            if (all->left == 0)
            {
                all->answer.orders_sent = outbox.last_number;
                answer.set(all->answer);
            }
        };
        auto const* const entry = m_book.find(end.attempt.task.job);
        auto const lasting = end.end == model::task_end::succeeded &&
                             entry != nullptr &&
                             entry->request.kind != model::job_kind::service;
        if (!m_placed.contains(end.attempt))
        {
            // A repeat, or the late end of an attempt that was given up.
            auto const news = lasting && !model::is_final(entry->state) &&
                              !entry->done.contains(end.attempt.task.index);
            if (news)
            {
                take_late_success(end, settle);
            }
            else
            {
                settle(true);
            }
            continue;
        }
        if (lasting)
        {
            take_success(end, settle);
            continue;
        }
        m_placed.ended(end.attempt);
        end_attempt(end);
        settle(true);
    }
}

void job_shard_actor::take_success(placement::attempt_end const& end,
                                   std::function<void(bool)> const& settle)
{
    append(jobs::task_done{end.attempt.task},
           [this, end, settle](base::outcome<stream::position> const& ended)
           {
               if (ended && m_placed.ended(end.attempt))
               {
                   run(m_queue->on_finished(end, m_node.clock.now()));
                   finish_if_done(end.attempt.task);
               }
               settle(ended.has_value());
           });
}

/// An end that is acknowledged stands for good: a success is in the log before
/// that, whichever attempt had it.
void job_shard_actor::take_late_success(placement::attempt_end const& end,
                                        std::function<void(bool)> const& settle)
{
    base::log(base::log_level::info, "late_success",
              {{"job", end.attempt.task.job},
               {"index", end.attempt.task.index},
               {"attempt", end.attempt.number}});
    append(jobs::task_done{end.attempt.task},
           [this, end, settle](base::outcome<stream::position> const& ended)
           {
               if (ended)
               {
                   finish_if_done(end.attempt.task);
               }
               settle(ended.has_value());
           });
}

/// An attempt has ended, and not as the task's first success.
void job_shard_actor::end_attempt(placement::attempt_end const& end)
{
    auto over = end;
    if (is_done(end.attempt.task))
    {
        // No failure of the task counts any more, and nothing is learnt of it.
        over.end = model::task_end::checkpointed;
    }
    run(m_queue->on_finished(over, m_node.clock.now()));
    finish_if_done(end.attempt.task);
}

/// Guards against a start after a success that was taken note of, where another
/// attempt than the current one had it.
void job_shard_actor::finish_if_done(model::task_id const& it)
{
    if (is_done(it))
    {
        run(m_queue->on_late_success(it, m_node.clock.now()));
    }
}

/// Whether the log has a success of the task, which is one of a batch job.
bool job_shard_actor::is_done(model::task_id const& it) const
{
    auto const* const entry = m_book.find(it.job);
    return entry != nullptr && entry->done.contains(it.index) &&
           entry->request.kind == model::job_kind::batch;
}

/// `then` is called on this actor when the record is in the log and in the
/// book, or is known not to be. A record of which nobody knows is left to the
/// next owner: this one stops.
void job_shard_actor::append(jobs::record const& record, append_done then)
{
    auto const ticket = ++m_last_ticket;
    auto const job = job_of(record);
    if (!job.empty())
    {
        m_pending_of_job[job] += 1;
    }
    jobs::stamped_record const stamped{m_epoch, record};
    m_appends[ticket] = [this, stamped, job, then = std::move(then)](
                            base::outcome<stream::position> const& ended)
    {
        if (!job.empty() && --m_pending_of_job[job] == 0)
        {
            m_pending_of_job.erase(job);
        }
        if (ended && m_queue != nullptr)
        {
            m_book.apply(stamped);
        }
        then(ended);
    };
    auto const self = caf::actor_cast<caf::actor>(this);
    m_node.writers.append(
        m_stream, jobs::to_json(stamped),
        [self, ticket](base::outcome<stream::position> const& ended) {
            caf::anon_send(self, shard_append_ended{ticket, ended});
        });
}

void job_shard_actor::append_ended(shard_append_ended const& it)
{
    auto const found = m_appends.find(it.ticket);
    if (found == m_appends.end())
    {
        return;
    }
    auto const then = std::move(found->second);
    m_appends.erase(found);
    // The answer may have taken longer than the right to the shard lasted. A
    // new owner may then have opened it, and the record is void.
    if (it.result && !acting())
    {
        then(base::failure{base::failure_code::outcome_unknown,
                           m_unit + " has changed hands", 1});
        return;
    }
    then(it.result);
}

/// Writes live state again before retention drops the records that made it. A
/// job with a record under way waits for the next round, as a copy that lacks
/// that record and comes after it would take it back.
void job_shard_actor::keep_records(base::instant now)
{
    age_out();
    if (now < m_keep_at || m_phase != phase::complete || !acting())
    {
        return;
    }
    m_keep_at = now + base::from_seconds(m_node.settings.platform.snapshot_s);
    append(jobs::shard_opened{m_node.settings.instance, m_book.term()},
           [](auto const&) {});
    for (auto const& it : m_book.snapshot())
    {
        auto const& kept = std::get<jobs::job_snapshot>(it);
        if (!m_pending_of_job.contains(kept.job))
        {
            append(it, [](auto const&) {});
        }
    }
}

void job_shard_actor::age_out()
{
    auto const now = m_node.clock.now();
    if (now < m_age_at)
    {
        return;
    }
    m_age_at = now + s_age_every;
    auto const contracts = m_node.configuration.contracts();
    std::erase_if(m_started_at_us, [this](auto const& it)
                  { return m_book.find(it.first) == nullptr; });
    m_book.remove_expired(m_node.clock.wall_us(),
                          [&](std::string const& name)
                          {
                              auto const it = contracts->find(name);
                              return it == contracts->end()
                                         ? s_default_retention_s
                                         : it->second.contract.retention_s;
                          });
}

} // namespace berylhill::entry
