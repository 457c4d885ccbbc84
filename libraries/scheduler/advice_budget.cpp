#include <scheduler/advice_budget.hpp>

namespace berylhill::scheduler
{

namespace
{

/// Share of the machines that long advice requests may occupy before optional
/// requests are left out. The rest is reserved for short requests and for
/// requests without which work cannot start.
constexpr double most_busy = 0.7;

} // namespace

void advice_budget::asked(workload::step_name const& of,
                          base::duration expected)
{
    if (expected > short_advice_request)
    {
        ++m_long;
        ++m_open[of];
    }
}

void advice_budget::ended(workload::step_name const& of)
{
    auto const it = m_open.find(of);
    if (it == m_open.end())
    {
        return;
    }
    --m_long;
    if (--it->second == 0)
    {
        m_open.erase(it);
    }
}

std::size_t advice_budget::spare() const
{
    auto const most =
        static_cast<std::size_t>(most_busy * static_cast<double>(m_machines));
    return m_long < most ? most - m_long : 0;
}

} // namespace berylhill::scheduler
