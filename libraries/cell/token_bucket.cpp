#include <cell/token_bucket.hpp>

#include <algorithm>

namespace berylhill::cell
{

token_bucket::token_bucket(std::int64_t per_s, std::int64_t depth)
    : m_per_s{per_s}
    , m_depth{depth}
    , m_left{depth}
{
}

bool token_bucket::try_take(std::size_t tokens, base::instant now)
{
    constexpr std::int64_t us_per_s = 1'000'000;
    // Bounded because the product would overflow after days without traffic.
    auto const passed =
        std::min<base::duration>(now - m_at, std::chrono::minutes{1});
    auto const earned = passed.count() * m_per_s;
    m_left = std::min(m_depth, m_left + earned / us_per_s);
    // What is less than a token is earned by the next call.
    m_at = now - base::duration{m_per_s == 0 ? 0 : earned % us_per_s / m_per_s};
    if (m_left <= 0)
    {
        return false;
    }
    m_left -= static_cast<std::int64_t>(tokens);
    return true;
}

} // namespace berylhill::cell
