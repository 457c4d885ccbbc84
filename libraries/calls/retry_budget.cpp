#include <calls/retry_budget.hpp>

#include <algorithm>
#include <cmath>

namespace berylhill::calls
{

namespace
{

/// Further doubling has no effect, as the back-off is capped, and would
/// overflow.
constexpr std::int32_t s_most_doublings = 20;
/// Tolerance for rounding errors: sums of tenths fall slightly short of whole
/// numbers.
constexpr double s_rounding = 1e-9;

} // namespace

retry_budget::retry_budget(retry_settings const& settings, generator random)
    : m_settings{settings}
    , m_random{random}
{
}

void retry_budget::add_first_attempt(std::string const& contract)
{
    auto& saved = m_saved[contract];
    saved = std::min(saved + m_settings.share, m_settings.max_saved);
}

bool retry_budget::has_resend(std::string const& contract) const
{
    auto const it = m_saved.find(contract);
    return it != m_saved.end() && it->second + s_rounding >= 1;
}

bool retry_budget::take_resend(std::string const& contract)
{
    if (!has_resend(contract))
    {
        return false;
    }
    m_saved[contract] -= 1;
    return true;
}

base::duration retry_budget::back_off(std::int32_t attempt)
{
    auto const doublings = std::clamp(attempt - 1, 0, s_most_doublings);
    auto const whole = std::min(
        std::ldexp(base::seconds_of(m_settings.first_back_off), doublings),
        base::seconds_of(m_settings.max_back_off));
    return base::from_seconds(uniform(m_random, whole / 2, whole));
}

void retry_budget::remove_contract(std::string const& contract)
{
    m_saved.erase(contract);
}

} // namespace berylhill::calls
