#include <jobs/job_table.hpp>

#include <algorithm>
#include <utility>

namespace berylhill::jobs
{

namespace
{

constexpr double s_us_per_s = 1e6;

} // namespace

bool job_table::apply(stamped_record const& it)
{
    if (it.epoch < m_epoch)
    {
        return false;
    }
    if (std::holds_alternative<shard_opened>(it.value))
    {
        m_epoch = it.epoch;
    }
    std::visit([this](auto const& value) { apply_record(value); }, it.value);
    return true;
}

void job_table::reset()
{
    m_jobs.clear();
    m_keys.clear();
}

void job_table::apply_record(shard_opened const& it)
{
    m_term = std::max(m_term, it.term);
}

void job_table::apply_record(job_accepted const& it)
{
    job_entry entry;
    entry.request = it.request;
    entry.accepted_at_us = it.at_us;
    add(it.job, std::move(entry));
}

void job_table::apply_record(start_intent const& it)
{
    auto const found = m_jobs.find(it.attempt.task.job);
    if (found != m_jobs.end())
    {
        found->second.intents[it.attempt.task.index] = it;
    }
}

void job_table::apply_record(task_done const& it)
{
    auto const found = m_jobs.find(it.task.job);
    if (found != m_jobs.end())
    {
        found->second.done.insert(it.task.index);
    }
}

void job_table::apply_record(job_ended const& it)
{
    auto const found = m_jobs.find(it.job);
    if (found == m_jobs.end() || model::is_final(found->second.state))
    {
        return;
    }
    found->second.state = it.state;
    found->second.detail = it.detail;
    found->second.ended_at_us = it.at_us;
}

void job_table::apply_record(job_snapshot const& it)
{
    if (m_jobs.contains(it.job))
    {
        // Built from the original records already, and may be newer.
        return;
    }
    job_entry entry;
    entry.request = it.request;
    entry.accepted_at_us = it.accepted_at_us;
    entry.done.insert(it.done.begin(), it.done.end());
    for (auto const& one : it.intents)
    {
        entry.intents[one.attempt.task.index] = one;
    }
    entry.state = it.state;
    entry.detail = it.detail;
    entry.ended_at_us = it.ended_at_us;
    add(it.job, std::move(entry));
}

void job_table::add(std::string const& job, job_entry entry)
{
    auto const& request = entry.request;
    if (!request.key.empty())
    {
        m_keys.try_emplace({request.contract, request.key}, job);
    }
    m_jobs.try_emplace(job, std::move(entry));
}

std::size_t job_table::remove_expired(
    std::int64_t now_us,
    std::function<double(std::string const&)> const& retention_of)
{
    std::size_t n = 0;
    for (auto it = m_jobs.begin(); it != m_jobs.end();)
    {
        auto const& entry = it->second;
        auto const kept_us = static_cast<std::int64_t>(
            retention_of(entry.request.contract) * s_us_per_s);
        if (!model::is_final(entry.state) ||
            entry.ended_at_us + kept_us > now_us)
        {
            ++it;
            continue;
        }
        m_keys.erase({entry.request.contract, entry.request.key});
        it = m_jobs.erase(it);
        ++n;
    }
    return n;
}

job_entry const* job_table::find(std::string const& job) const
{
    auto const found = m_jobs.find(job);
    return found == m_jobs.end() ? nullptr : &found->second;
}

std::optional<std::string> job_table::job_of_key(std::string const& contract,
                                                 std::string const& key) const
{
    auto const found = m_keys.find({contract, key});
    if (found == m_keys.end())
    {
        return std::nullopt;
    }
    return found->second;
}

std::vector<record> job_table::snapshot() const
{
    std::vector<record> out;
    out.reserve(m_jobs.size());
    for (auto const& [job, entry] : m_jobs)
    {
        job_snapshot it;
        it.job = job;
        it.request = entry.request;
        it.accepted_at_us = entry.accepted_at_us;
        it.done.assign(entry.done.begin(), entry.done.end());
        for (auto const& one : entry.intents)
        {
            it.intents.push_back(one.second);
        }
        it.state = entry.state;
        it.detail = entry.detail;
        it.ended_at_us = entry.ended_at_us;
        out.emplace_back(std::move(it));
    }
    return out;
}

} // namespace berylhill::jobs
