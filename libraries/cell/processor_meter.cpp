#include <cell/processor_meter.hpp>

#include <algorithm>

namespace berylhill::cell
{

namespace
{

/// Time constant of the average.
constexpr base::duration averaging_time = std::chrono::seconds{1};

} // namespace

void processor_meter::measured(base::instant now, base::duration used)
{
    auto const span = now - m_at;
    if (m_started && span.count() <= 0)
    {
        return;
    }
    if (m_started)
    {
        auto const cores =
            base::seconds_of(used - m_used) / base::seconds_of(span);
        auto const weight = std::min(1.0, base::seconds_of(span) /
                                              base::seconds_of(averaging_time));
        m_cores += (cores - m_cores) * weight;
    }
    m_started = true;
    m_at = now;
    m_used = used;
}

} // namespace berylhill::cell
