#include <scheduler/account_ledger.hpp>

#include <algorithm>

namespace berylhill::scheduler
{

namespace
{

/// How many tasks fit into one resource dimension, at most `most`. A cap of 0
/// means no limit.
std::int64_t tasks_in(std::int64_t cap,
                      std::int64_t used,
                      std::int64_t task,
                      std::int64_t most)
{
    if (cap <= 0 || task <= 0)
    {
        return most;
    }
    return std::clamp<std::int64_t>((cap - used) / task, 0, most);
}

std::uint32_t tasks_within(workload::resources const& cap,
                           workload::resources const& used,
                           workload::resources const& task,
                           std::uint32_t most)
{
    return static_cast<std::uint32_t>(std::min(
        {tasks_in(cap.cpu_millis, used.cpu_millis, task.cpu_millis, most),
         tasks_in(cap.memory_mb, used.memory_mb, task.memory_mb, most),
         tasks_in(cap.gpus, used.gpus, task.gpus, most)}));
}

/// Whether the usage exceeds a cap in any dimension.
bool exceeds(workload::resources const& used, workload::resources const& cap)
{
    auto const over = [](std::int64_t part, std::int64_t most)
    {
        return most > 0 && part > most;
    };
    return over(used.cpu_millis, cap.cpu_millis) ||
           over(used.memory_mb, cap.memory_mb) || over(used.gpus, cap.gpus);
}

/// Whether a cap is smaller than the former one in any dimension.
bool lowers(workload::resources const& cap, workload::resources const& former)
{
    auto const lower = [](std::int64_t now, std::int64_t before)
    {
        return now > 0 && (before <= 0 || now < before);
    };
    return lower(cap.cpu_millis, former.cpu_millis) ||
           lower(cap.memory_mb, former.memory_mb) ||
           lower(cap.gpus, former.gpus);
}

} // namespace

void account_ledger::set_accounts(std::vector<workload::account_spec> const& it)
{
    for (auto const& account : it)
    {
        auto const [at, added] =
            m_entries.try_emplace(account.name, entry{account.cap, {}, false});
        auto& known = at->second;
        known.lowered =
            known.lowered || (!added && lowers(account.cap, known.cap));
        known.cap = account.cap;
    }
}

void account_ledger::add(std::string_view account,
                         workload::resources const& taken)
{
    auto const at = m_entries.find(account);
    if (at != m_entries.end())
    {
        at->second.used += taken;
        return;
    }
    m_entries[std::string{account}].used += taken;
}

void account_ledger::remove(std::string_view account,
                            workload::resources const& taken)
{
    if (auto const at = m_entries.find(account); at != m_entries.end())
    {
        at->second.used -= taken;
    }
}

std::uint32_t account_ledger::room_for(std::string_view account,
                                       workload::resources const& task,
                                       std::uint32_t most) const
{
    auto const at = m_entries.find(account);
    return at == m_entries.end()
               ? most
               : tasks_within(at->second.cap, at->second.used, task, most);
}

bool account_ledger::can_hold(std::string_view account,
                              workload::resources const& task,
                              std::uint32_t tasks) const
{
    return tasks_within(cap(account), {}, task, tasks) == tasks;
}

bool account_ledger::half_used(std::string_view account) const
{
    auto const at = m_entries.find(account);
    if (at == m_entries.end())
    {
        return false;
    }
    auto const half = [](std::int64_t used, std::int64_t cap)
    {
        return cap > 0 && 2 * used >= cap;
    };
    auto const& cap = at->second.cap;
    auto const& used = at->second.used;
    return half(used.cpu_millis, cap.cpu_millis) ||
           half(used.memory_mb, cap.memory_mb) || half(used.gpus, cap.gpus);
}

bool account_ledger::over_lowered_cap(std::string_view account) const
{
    auto const at = m_entries.find(account);
    return at != m_entries.end() && at->second.lowered &&
           exceeds(at->second.used, at->second.cap);
}

workload::resources account_ledger::used(std::string_view account) const
{
    auto const at = m_entries.find(account);
    return at == m_entries.end() ? workload::resources{} : at->second.used;
}

workload::resources account_ledger::cap(std::string_view account) const
{
    auto const at = m_entries.find(account);
    return at == m_entries.end() ? workload::resources{} : at->second.cap;
}

} // namespace berylhill::scheduler
