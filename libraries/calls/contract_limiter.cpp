#include <calls/contract_limiter.hpp>

#include <algorithm>
#include <cassert>

namespace berylhill::calls
{

namespace
{

/// Weight of the newest measurement in the moving average.
constexpr double s_newest = 0.2;
/// Factor by which a demand decays per report without new demand.
constexpr double s_fade = 0.7;
/// Demand below this is noise and is not gossiped.
constexpr double s_least_demand = 0.01;
/// Minimum time over which the retries of refused clients are spread, in
/// seconds.
constexpr double s_least_spread_s = 0.5;
/// Maximum Retry-After, in seconds: a client that waited longer would learn of
/// a change of the shares too late.
constexpr double s_longest_retry_s = 30;

limit_share least_of(limit_share const& a, limit_share const& b)
{
    return {std::min(a.calls_per_s, b.calls_per_s), std::min(a.burst, b.burst),
            std::min(a.at_once, b.at_once)};
}

} // namespace

contract_limiter::contract_limiter(model::contract limits, base::instant now)
    : m_limits{std::move(limits)}
    , m_refilled_at{now}
    , m_reported_at{now}
{
    m_demand.contract = m_limits.name;
}

void contract_limiter::set_limits(model::contract const& limits)
{
    m_limits = limits;
    m_share = least_of(m_share, {limits.calls_per_s,
                                 static_cast<double>(limits.call_burst),
                                 static_cast<double>(limits.calls_at_once)});
    m_tokens = std::min(m_tokens, m_share.burst);
}

void contract_limiter::set_share(limit_share const& part,
                                 base::instant now,
                                 base::duration settle)
{
    refill(now);
    // A process that was suspended for a while resumes with its old share,
    // which its peers may have reassigned meanwhile. It restarts from zero and
    // has received their demand when the settling time is over.
    if (!m_shares.empty() && now - m_shares.back().first > settle)
    {
        m_shares.emplace_back(now, limit_share{});
    }
    m_shares.emplace_back(now, part);
    m_valid_until = now + settle;
    // Keep one share older than the settling time: it was in force at the start
    // of the window.
    while (m_shares.size() > 1 && m_shares[1].first <= now - settle)
    {
        m_shares.pop_front();
    }
    m_share = part;
    for (auto const& it : m_shares)
    {
        m_share = least_of(m_share, it.second);
    }
    m_tokens = std::min(m_tokens, m_share.burst);
}

std::optional<refusal> contract_limiter::admit(base::instant now,
                                               generator& random)
{
    refill(now);
    ++m_offered;
    if (now > m_valid_until)
    {
        return refuse_as_exhausted(random);
    }
    if (static_cast<double>(m_in_flight) + 1 > m_share.at_once)
    {
        ++m_refused;
        ++m_refused_at_once;
        return refuse(refusal_code::too_many_at_once,
                      m_share.at_once / m_call_time_s, random);
    }
    if (m_tokens < 1)
    {
        ++m_refused;
        return refuse(refusal_code::rate_limited, m_share.calls_per_s, random);
    }
    m_tokens -= 1;
    ++m_in_flight;
    m_peak = std::max(m_peak, m_in_flight);
    return std::nullopt;
}

void contract_limiter::finish(base::duration took,
                              std::int32_t resends,
                              base::instant now)
{
    assert(m_in_flight > 0);
    refill(now);
    --m_in_flight;
    m_tokens -= resends;
    m_call_time_s += s_newest * (base::seconds_of(took) - m_call_time_s);
}

void contract_limiter::drop()
{
    assert(m_in_flight > 0);
    --m_in_flight;
}

refusal contract_limiter::refuse_as_exhausted(generator& random)
{
    ++m_refused;
    return refuse(refusal_code::rate_limited, m_limits.calls_per_s, random);
}

contract_demand contract_limiter::report(base::instant now)
{
    auto const span = base::seconds_of(now - m_reported_at);
    if (span <= 0)
    {
        return m_demand;
    }
    auto const rate = static_cast<double>(m_offered) / span;
    auto const wanted = m_peak + m_refused_at_once;
    auto const at_once = std::min(static_cast<double>(wanted),
                                  static_cast<double>(m_limits.calls_at_once));
    m_demand.calls_per_s = std::max(rate, m_demand.calls_per_s * s_fade);
    m_demand.at_once = std::max(at_once, m_demand.at_once * s_fade);
    if (m_demand.calls_per_s < s_least_demand)
    {
        m_demand.calls_per_s = 0;
        m_demand.at_once = 0;
    }
    m_reported_at = now;
    m_offered = 0;
    m_refused *= s_fade;
    m_refused_at_once = 0;
    m_peak = m_in_flight;
    return m_demand;
}

void contract_limiter::refill(base::instant now)
{
    auto const span = base::seconds_of(now - m_refilled_at);
    if (span > 0)
    {
        m_tokens =
            std::min(m_tokens + span * m_share.calls_per_s, m_share.burst);
        m_refilled_at = now;
    }
}

refusal contract_limiter::refuse(refusal_code code,
                                 double freed_per_s,
                                 generator& random) const
{
    // Clients refused earlier will retry before this one. If all were given the
    // same time, they would retry simultaneously and be refused again.
    auto const spread =
        freed_per_s > 0 ? m_refused / freed_per_s : s_longest_retry_s;
    auto const latest = std::clamp(spread, s_least_spread_s, s_longest_retry_s);
    return {ran::not_run, code,
            "reached the limit of contract " + m_limits.name,
            uniform(random, latest / 2, latest * 1.5)};
}

} // namespace berylhill::calls
