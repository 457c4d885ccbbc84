#include <scheduler/part_ledger.hpp>

#include <utility>

namespace berylhill::scheduler
{

std::set<state_part> part_ledger::take_changed()
{
    m_taken = std::exchange(m_changed, {});
    return m_taken;
}

bool part_ledger::take_head(std::string const& value)
{
    return std::exchange(m_head, value) != value;
}

bool part_ledger::take_former_records()
{
    m_former_records_taken = std::exchange(m_former_records, false);
    return m_former_records_taken;
}

bool part_ledger::take_spec()
{
    m_spec_taken = !std::exchange(m_spec_written, true);
    m_spec_may_be_stored = true;
    return m_spec_taken;
}

void part_ledger::batch_stored()
{
    for (auto const& it : m_deleting)
    {
        m_stored.erase(it);
    }
    m_deleting.clear();
    m_taken.clear();
    m_spec_taken = false;
    m_former_records_taken = false;
}

void part_ledger::batch_not_stored()
{
    m_changed.merge(m_taken);
    m_taken.clear();
    m_deleting.clear();
    m_head.clear();
    m_former_records |= std::exchange(m_former_records_taken, false);
    if (std::exchange(m_spec_taken, false))
    {
        m_spec_written = false;
    }
}

} // namespace berylhill::scheduler
