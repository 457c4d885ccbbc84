#include "request_faults.hpp"

namespace berylhill::platform_test
{

bool request_faults::rejects()
{
    return m_rejected_share > 0 &&
           std::bernoulli_distribution{m_rejected_share}(m_random);
}

std::optional<std::chrono::milliseconds> request_faults::delay()
{
    if (m_late.share <= 0 ||
        !std::bernoulli_distribution{m_late.share}(m_random))
    {
        return std::nullopt;
    }
    return std::chrono::milliseconds{
        std::uniform_int_distribution<std::int64_t>{
            m_late.shortest_delay.count(),
            m_late.longest_delay.count()}(m_random)};
}

} // namespace berylhill::platform_test
