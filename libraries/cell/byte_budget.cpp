#include <cell/byte_budget.hpp>

#include <algorithm>

namespace berylhill::cell
{

byte_budget::byte_budget(std::int64_t bytes_per_s, std::int64_t depth)
    : m_bytes_per_s{bytes_per_s}
    , m_depth{depth}
    , m_left{depth}
{
}

bool byte_budget::try_take(std::size_t bytes, base::instant now)
{
    constexpr std::int64_t us_per_s = 1'000'000;
    // Bounded because the product would overflow after days without traffic.
    auto const passed =
        std::min<base::duration>(now - m_at, std::chrono::minutes{1});
    m_left =
        std::min(m_depth, m_left + passed.count() * m_bytes_per_s / us_per_s);
    m_at = now;
    if (m_left <= 0)
    {
        return false;
    }
    m_left -= static_cast<std::int64_t>(bytes);
    return true;
}

} // namespace berylhill::cell
