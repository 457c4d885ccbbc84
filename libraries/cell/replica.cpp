#include <cell/replica.hpp>

#include <scheduler/record.hpp>

namespace berylhill::cell
{

void replica::set(std::string const& key, std::string const& value)
{
    if (value.empty())
    {
        m_records.erase(key);
        return;
    }
    m_records.insert_or_assign(key, value);
}

owner_view replica::owner() const
{
    auto const at = m_records.find(owner_key);
    if (at == m_records.end())
    {
        return {};
    }
    return claim_of(at->second);
}

std::optional<scheduler::stored_status>
replica::end_of(workload::job_id it) const
{
    auto const at = m_records.find(scheduler::state_key(it));
    if (at == m_records.end())
    {
        return std::nullopt;
    }
    auto const read = base::capture(
        [&] { return scheduler::parse_stored_status(it, at->second); });
    auto const shown = read && read.value().submitted &&
                       scheduler::finished(read.value().phase);
    if (!shown)
    {
        return std::nullopt;
    }
    return read.value();
}

} // namespace berylhill::cell
