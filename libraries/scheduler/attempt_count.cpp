#include <scheduler/attempt_count.hpp>

#include <cassert>

namespace berylhill::scheduler
{

void attempt_count::remove(workload::task_name const& it)
{
    auto const at = m_counts.find(it);
    assert(at != m_counts.end());
    if (at == m_counts.end())
    {
        return;
    }
    --m_total;
    if (--at->second == 0)
    {
        m_counts.erase(at);
    }
}

std::uint32_t attempt_count::of(workload::task_name const& it) const
{
    auto const at = m_counts.find(it);
    return at == m_counts.end() ? 0 : at->second;
}

} // namespace berylhill::scheduler
