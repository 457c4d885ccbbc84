#include <scheduler/job_table.hpp>

#include <scheduler/part_record.hpp>

#include <algorithm>
#include <cassert>
#include <iterator>
#include <utility>

namespace berylhill::scheduler
{

job& job_table::add(workload::job_spec spec,
                    std::int64_t accepted_ms,
                    base::instant now)
{
    auto const id = spec.id;
    auto made = std::make_unique<job>(std::move(spec), accepted_ms, now,
                                      m_layout, m_memory);
    auto const [at, added] = m_jobs.emplace(id, std::move(made));
    assert(added);
    m_new.insert(id);
    if (at->second->spec().repeats.count != 0)
    {
        m_repeating.insert(id);
    }
    if (at->second->spec().repeats.count == 0)
    {
        // A repeating job waits for its due times rather than for resources.
        m_pending[at->second->spec().queue].insert(id);
    }
    return *at->second;
}

job& job_table::add_early_cancellation(workload::job_id it,
                                       std::string account,
                                       std::int64_t wall_ms,
                                       base::instant now)
{
    workload::job_spec spec;
    spec.id = it;
    spec.account = std::move(account);
    auto& out = add(std::move(spec), wall_ms, now);
    out.submitted = false;
    out.stored_submitted = false;
    out.finished_ms = wall_ms;
    m_early_cancellations.insert(it);
    finish(out, job_phase::cancelled, now);
    return out;
}

void job_table::set_submitted(job& it)
{
    it.submitted = true;
    m_early_cancellations.erase(it.spec().id);
    touch(it.spec().id);
}

bool job_table::withdraw_submission(job& it)
{
    auto const id = it.spec().id;
    if (!m_new.contains(id))
    {
        return false;
    }
    it.submitted = false;
    it.stored_submitted = false;
    m_early_cancellations.insert(id);
    touch(id);
    return true;
}

job* job_table::find(workload::job_id it)
{
    auto const at = m_jobs.find(it);
    return at == m_jobs.end() ? nullptr : at->second.get();
}

job const* job_table::find(workload::job_id it) const
{
    auto const at = m_jobs.find(it);
    return at == m_jobs.end() ? nullptr : at->second.get();
}

void job_table::drop(workload::job_id it)
{
    auto const at = m_jobs.find(it);
    if (at == m_jobs.end())
    {
        return;
    }
    auto const& of = *at->second;
    forget_finished(of);
    m_early_cancellations.erase(it);
    m_repeating.erase(it);
    m_new.erase(it);
    m_changed.erase(it);
    m_dropped[it] =
        of.partitioned() ? keys_to_delete(of) : std::vector{state_key(it)};
    m_jobs.erase(at);
}

bool job_table::withdraw(workload::job_id it)
{
    auto const at = m_jobs.find(it);
    if (at == m_jobs.end() || !m_new.contains(it))
    {
        return false;
    }
    forget_pending(*at->second);
    std::erase_if(m_ready, [&](workload::step_name const& name)
                  { return name.job == it; });
    forget_finished(*at->second);
    m_early_cancellations.erase(it);
    m_repeating.erase(it);
    m_new.erase(it);
    m_changed.erase(it);
    m_jobs.erase(at);
    return true;
}

void job_table::forget_finished(job const& it)
{
    auto [at, end] = m_finished.equal_range(it.finished_at);
    while (at != end)
    {
        at = at->second == it.spec().id ? m_finished.erase(at) : std::next(at);
    }
}

job_table::changes job_table::take_changes()
{
    changes out;
    // First, because a dropped job may have been submitted again.
    for (auto const& [id, keys] : m_dropped)
    {
        for (auto const& key : keys)
        {
            out.records.push_back({key, {}});
        }
    }
    out.dropped = std::exchange(m_dropped, {});
    auto taken = m_changed;
    taken.insert(m_new.begin(), m_new.end());
    for (auto const id : taken)
    {
        add_records(*m_jobs.at(id), out.records);
        out.jobs.push_back(id);
    }
    m_new.clear();
    m_changed.clear();
    return out;
}

void job_table::add_records(job& it, std::vector<record>& to) const
{
    auto const id = it.spec().id;
    if (it.partitioned())
    {
        std::ranges::move(take_part_records(it), std::back_inserter(to));
        return;
    }
    if (!finished(it.phase) && it.parts.take_spec())
    {
        to.push_back({spec_key(id), spec_value(it)});
    }
    if (!m_changed.contains(id))
    {
        return;
    }
    to.push_back({state_key(id), state_value(it)});
    if (finished(it.phase))
    {
        to.push_back({spec_key(id), {}});
    }
}

void job_table::put_back(std::vector<workload::job_id> const& changed,
                         dropped_jobs const& dropped)
{
    for (auto const id : changed)
    {
        auto* const it = find(id);
        if (it == nullptr)
        {
            continue;
        }
        it->parts.batch_not_stored();
        m_changed.insert(id);
        if (!it->stored && !it->may_be_stored)
        {
            m_new.insert(id);
        }
    }
    m_dropped.insert(dropped.begin(), dropped.end());
}

void job_table::hold(workload::job_id it)
{
    m_held.insert(it);
    m_new.erase(it);
    if (m_changed.erase(it) > 0)
    {
        m_held_changes.insert(it);
    }
}

void job_table::let_go(workload::job_id it)
{
    m_held.erase(it);
    if (m_held_changes.erase(it) > 0)
    {
        m_changed.insert(it);
    }
}

void job_table::stored(job& it)
{
    it.stored = true;
    it.parts.batch_stored();
}

void job_table::refresh_ready(job const& it)
{
    auto const id = it.spec().id;
    for (auto const& [number, occurrence] : it.occurrences)
    {
        for (std::uint32_t n = 0; n < occurrence.steps.size(); ++n)
        {
            auto const name = workload::step_name{id, number, n};
            auto const open = !finished(it.phase) &&
                              occurrence.steps[n].waiting > 0 &&
                              it.ready(occurrence, n);
            if (open)
            {
                m_ready.insert(name);
            }
            else
            {
                m_ready.erase(name);
            }
        }
    }
}

std::size_t job_table::pending(std::string const& queue) const
{
    auto const at = m_pending.find(queue);
    return at == m_pending.end() ? 0 : at->second.size();
}

void job_table::set_begun(job& it)
{
    if (it.begun)
    {
        return;
    }
    it.begun = true;
    forget_pending(it);
}

void job_table::finish(job& it, job_phase phase, base::instant now)
{
    auto const id = it.spec().id;
    forget_pending(it);
    auto const from = m_ready.lower_bound(workload::step_name{id, 0, 0});
    auto to = from;
    while (to != m_ready.end() && to->job == id)
    {
        ++to;
    }
    m_ready.erase(from, to);
    m_repeating.erase(id);
    it.phase = phase;
    it.finished_at = now;
    it.release_details();
    m_finished.emplace(now, id);
    touch(id);
}

void job_table::restored(job const& it)
{
    auto const id = it.spec().id;
    m_new.erase(id);
    m_changed.erase(id);
    if (it.begun || finished(it.phase))
    {
        forget_pending(it);
    }
    if (!it.submitted)
    {
        m_early_cancellations.insert(id);
    }
    if (finished(it.phase))
    {
        m_repeating.erase(id);
        m_finished.emplace(it.finished_at, id);
        return;
    }
    refresh_ready(it);
}

std::vector<workload::job_id> job_table::finished_before(base::instant it) const
{
    std::vector<workload::job_id> out;
    for (auto const& [at, id] : m_finished)
    {
        if (at >= it)
        {
            break;
        }
        out.push_back(id);
    }
    return out;
}

/// May be called repeatedly: a job that is cancelled while its first start is
/// in flight is removed both when it ends and when the instance reports the
/// start.
void job_table::forget_pending(job const& it)
{
    auto const at = m_pending.find(it.spec().queue);
    if (at != m_pending.end())
    {
        at->second.erase(it.spec().id);
    }
}

} // namespace berylhill::scheduler
