#include <lease/worker_lease.hpp>

#include <algorithm>
#include <utility>

namespace berylhill::lease
{

namespace
{

constexpr std::int64_t s_ppm = 1'000'000;

} // namespace

worker_lease::worker_lease(lease_options options, base::instant since)
    : m_options{options}
    , m_since{since}
{
}

std::int64_t worker_lease::renew_until() const noexcept
{
    return m_last ? m_last->clock + m_options.length.count() : 0;
}

void worker_lease::renewal_sent(std::int64_t renewed_until)
{
    m_renewed_until = std::max(m_renewed_until, renewed_until);
}

answer_status worker_lease::answer_received(std::string const& incarnation,
                                            std::int64_t clock,
                                            base::instant sent_at,
                                            base::instant received_at)
{
    if (incarnation == m_replaced_incarnation)
    {
        return answer_status::stale;
    }
    if (!m_last)
    {
        m_incarnation = incarnation;
        m_last = clock_reading{clock, sent_at, received_at};
        return answer_status::same_process;
    }
    if (incarnation != m_incarnation)
    {
        // A late answer of the old process looks like a second restart, so the
        // replaced incarnation is remembered.
        m_replaced_incarnation = std::exchange(m_incarnation, incarnation);
        m_last = clock_reading{clock, sent_at, received_at};
        m_renewed_until = 0;
        return answer_status::new_process;
    }
    if (clock < m_last->clock)
    {
        return answer_status::stale;
    }
    m_last = clock_reading{clock, sent_at, received_at};
    return answer_status::same_process;
}

base::instant worker_lease::expires_at() const
{
    // Renewals of earlier owners end at most `length` after a clock reading
    // that was taken before `m_since`.
    auto const earlier_owners_end =
        m_since + with_drift(m_options.length) + m_options.margin;
    if (!m_last)
    {
        return earlier_owners_end;
    }
    auto const left = base::duration{
        std::max(m_renewed_until - m_last->clock, m_options.length.count())};
    auto const own_end =
        m_last->received_at + with_drift(left) + m_options.margin;
    return std::max(earlier_owners_end, own_end);
}

std::optional<clock_bounds>
worker_lease::estimate_clock(base::instant now) const
{
    if (!m_last)
    {
        return std::nullopt;
    }
    auto const shortest = std::max(now - m_last->received_at, base::duration{});
    auto const longest = std::max(now - m_last->sent_at, base::duration{});
    auto const slowest = shortest - (with_drift(shortest) - shortest);
    return clock_bounds{m_last->clock + slowest.count(),
                        m_last->clock + with_drift(longest).count()};
}

std::optional<base::instant> worker_lease::last_answer_at() const
{
    if (!m_last)
    {
        return std::nullopt;
    }
    return m_last->received_at;
}

base::duration worker_lease::with_drift(base::duration it) const
{
    return it + it * m_options.max_drift_ppm / s_ppm;
}

} // namespace berylhill::lease
