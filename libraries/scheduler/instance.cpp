#include <scheduler/instance.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

namespace berylhill::scheduler
{

namespace
{

/// Index of the rack among the labels of an instance; the kind has index 0.
constexpr std::size_t rack_label = 1;

std::int64_t milliseconds_of(base::duration it)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(it).count();
}

} // namespace

instance::instance(std::string id,
                   base::instant lease_end,
                   std::uint32_t number,
                   account_ledger* ledger,
                   attempt_count* counts)
    : m_number{number}
    , m_ledger{ledger}
    , m_counts{counts}
    , m_lease_end{lease_end}
{
    m_info.id = std::move(id);
}

void instance::list(instance_info it,
                    std::optional<base::instant> written_after,
                    base::instant now)
{
    // Also of an instance that was removed from the list meanwhile. Before it
    // is listed for the first time its capacity is zero.
    m_shrunk = m_shrunk || !workload::fits(m_info.capacity, it.capacity);
    m_info = std::move(it);
    m_leaves_at.reset();
    if (m_info.draining && m_info.min_stay)
    {
        m_leaves_at = now + *m_info.min_stay;
    }
    m_rack = m_info.labels.size() > rack_label ? m_info.labels[rack_label]
                                               : std::string{};
    m_listed = true;
    m_written_after = written_after;
}

void instance::assume_address(instance_info const& former)
{
    m_info.service = former.service;
    m_info.address = former.address;
    m_info.zone = former.zone;
}

std::optional<base::duration> instance::entry_age(base::instant now) const
{
    return m_written_after ? std::optional{now - *m_written_after}
                           : std::nullopt;
}

bool instance::entry_valid(base::instant now, policy const& rules) const
{
    auto const age = entry_age(now);
    return m_listed && age && *age <= rules.max_entry_age;
}

bool instance::may_have_news(base::instant former_until,
                             policy const& rules) const
{
    auto const sent_until =
        std::max(former_until, m_start_sent_at.value_or(former_until));
    return !m_attempts.empty() || !m_empty_report_at ||
           *m_empty_report_at < sent_until + rules.max_request_delay;
}

void instance::heard(base::instant at, std::int64_t clock_ms)
{
    if (m_clock_read_at && clock_ms < m_clock_ms)
    {
        return;
    }
    m_clock_read_at = at;
    m_clock_ms = clock_ms;
}

void instance::reported(base::instant at, std::int64_t clock_ms)
{
    heard(at, clock_ms);
    m_reported_at = at;
    m_fenced = true;
    m_reachable = true;
}

std::int64_t instance::grant(base::instant from, policy const& rules)
{
    if (!m_clock_read_at)
    {
        return 0;
    }
    auto const since = from - *m_clock_read_at;
    auto const until = m_clock_ms + milliseconds_of(since + rules.lease);
    // The instance read its clock before this process received the reading, so
    // by the local clock the lease expires no later than this, however slow the
    // instance's clock is.
    auto const end = *m_clock_read_at +
                     longest_locally(since + rules.lease, rules) +
                     rules.lapse_margin;
    m_lease_end = std::max(m_lease_end, end);
    return std::max<std::int64_t>(until, 0);
}

void instance::assume_lease(base::instant now, policy const& rules)
{
    static_cast<void>(grant(now, rules));
}

workload::resources instance::room_soon() const
{
    auto out = room();
    for (auto const& [name, it] : m_attempts)
    {
        if (it.stop_wanted)
        {
            out += it.need;
        }
    }
    return out;
}

attempt& instance::add(attempt_name const& name, attempt it)
{
    m_had_attempts = true;
    m_used += it.need;
    if (m_ledger != nullptr && !it.account.empty())
    {
        m_ledger->add(it.account, it.of_cap);
    }
    if (m_counts != nullptr)
    {
        m_counts->add(name.task);
    }
    m_unknown_needs += it.need_known ? 0 : 1;
    auto const [at, added] = m_attempts.emplace(name, std::move(it));
    assert(added);
    return at->second;
}

void instance::remove(attempt_name const& name)
{
    auto const it = m_attempts.find(name);
    if (it == m_attempts.end())
    {
        return;
    }
    m_used -= it->second.need;
    if (m_ledger != nullptr && !it->second.account.empty())
    {
        m_ledger->remove(it->second.account, it->second.of_cap);
    }
    if (m_counts != nullptr)
    {
        m_counts->remove(name.task);
    }
    m_unknown_needs -= it->second.need_known ? 0 : 1;
    m_attempts.erase(it);
}

attempt* instance::find(attempt_name const& name)
{
    auto const it = m_attempts.find(name);
    return it == m_attempts.end() ? nullptr : &it->second;
}

bool instance::holds_sent() const
{
    return std::ranges::any_of(
        m_attempts, [](auto const& it)
        { return it.second.state != attempt_state::planned; });
}

std::uint32_t instance::other_suspects(workload::job_id it) const
{
    return static_cast<std::uint32_t>(std::ranges::count_if(
        m_attempts, [it](auto const& each)
        { return each.second.suspect && each.first.task.step.job != it; }));
}

bool instance::has_label(std::string const& label) const
{
    return std::ranges::find(m_info.labels, label) != m_info.labels.end();
}

double logged_age(instance const& it, base::instant now)
{
    auto const age = it.entry_age(now);
    return age ? base::seconds_of(*age) : -1;
}

double logged_ago(std::optional<base::instant> const& it, base::instant now)
{
    return it ? base::seconds_of(now - *it) : -1;
}

} // namespace berylhill::scheduler
