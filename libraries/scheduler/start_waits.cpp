#include <scheduler/start_waits.hpp>

#include <algorithm>
#include <cmath>

namespace berylhill::scheduler
{

namespace
{

/// Time constant: after this time a value has about a third of its weight.
constexpr double memory_s = 4;

/// The lead is this multiple of the mean wait. It is more than 1, since serving
/// a step earlier does not shorten its wait by the same amount.
constexpr double lead_factor = 3;
constexpr double longest_lead_s = 30;

/// Exponent by which a step's lead grows with its width, and the bounds of the
/// resulting factor.
constexpr double width_power = 0.4;
constexpr double least_width_factor = 0.3;
constexpr double most_width_factor = 3;

} // namespace

void start_waits::decaying_mean::add(double value, base::instant now)
{
    auto const kept = std::exp(-base::seconds_of(now - added_at) / memory_s);
    sum = sum * kept + value;
    weight = weight * kept + 1;
    added_at = now;
}

double start_waits::decaying_mean::value() const
{
    return weight > 0 ? sum / weight : 0;
}

void start_waits::ready(std::string const& queue,
                        std::uint32_t tasks,
                        base::instant now)
{
    m_queues[queue].tasks.add(tasks, now);
}

void start_waits::waited(std::string const& queue,
                         base::duration it,
                         base::instant now)
{
    m_queues[queue].wait_s.add(base::seconds_of(it), now);
}

base::duration start_waits::lead(std::string const& queue,
                                 std::uint32_t tasks) const
{
    auto const at = m_queues.find(queue);
    if (at == m_queues.end())
    {
        return base::duration{0};
    }
    auto const& [wait_s, width] = at->second;
    auto const relative = width.value() > 0 ? tasks / width.value() : 1;
    auto const factor = std::clamp(std::pow(relative, width_power),
                                   least_width_factor, most_width_factor);
    auto const lead_s = std::min(longest_lead_s, lead_factor * wait_s.value());
    return base::from_seconds(factor * lead_s);
}

} // namespace berylhill::scheduler
