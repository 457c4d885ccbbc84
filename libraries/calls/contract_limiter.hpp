#pragma once

#include <base/time.hpp>
#include <calls/call_outcome.hpp>
#include <calls/entry_demand.hpp>
#include <calls/generator.hpp>
#include <model/contract.hpp>

#include <cstdint>
#include <deque>
#include <optional>
#include <utility>

namespace berylhill::calls
{

/// The share of a contract's limits that one entry may use.
struct limit_share
{
    double calls_per_s{0};
    double burst{0};
    double at_once{0};

    friend bool operator==(limit_share const&, limit_share const&) = default;
};

/// Admits the calls of one contract at one entry: a token bucket and a
/// concurrency limit, both for this entry's share of the contract's limits. Not
/// thread-safe.
class contract_limiter
{
public:
    contract_limiter(model::contract limits, base::instant now);

    void set_limits(model::contract const& limits);

    /// Sets the share that follows from the current demand of all entries. A
    /// smaller share takes effect immediately; a larger one once every share
    /// computed within the last `settle` was as large, because until then
    /// another entry may still use it. Call every gossip round: a share that
    /// has not been set for `settle` admits nothing.
    void set_share(limit_share const& part,
                   base::instant now,
                   base::duration settle);

    /// Admits a call or returns the reason for refusing it. An admitted call
    /// must be ended with `finish` or `drop`.
    [[nodiscard]] std::optional<refusal> admit(base::instant now,
                                               generator& random);

    /// Ends an admitted call that got its final answer after `took` and
    /// `resends` further attempts. The resends are charged afterwards:
    /// following calls wait until the rate has made up for them. Precondition:
    /// `in_flight() > 0`.
    void finish(base::duration took, std::int32_t resends, base::instant now);

    /// Ends an admitted call whose entry has left, without measuring it.
    /// Precondition: `in_flight() > 0`.
    void drop();

    /// The refusal for a call for which every home is exhausted.
    [[nodiscard]] refusal refuse_as_exhausted(generator& random);

    /// The smoothed demand of callers since the last report.
    [[nodiscard]] contract_demand report(base::instant now);

    [[nodiscard]] model::contract const& limits() const noexcept
    {
        return m_limits;
    }

    [[nodiscard]] limit_share const& share() const noexcept
    {
        return m_share;
    }

    [[nodiscard]] std::int64_t in_flight() const noexcept
    {
        return m_in_flight;
    }

private:
    void refill(base::instant now);
    [[nodiscard]] refusal
    refuse(refusal_code code, double freed_per_s, generator& random) const;

    model::contract m_limits;
    limit_share m_share;
    /// Shares computed within the settling time, oldest first.
    std::deque<std::pair<base::instant, limit_share>> m_shares;
    double m_tokens{0};
    base::instant m_refilled_at;
    /// The share is valid until this time unless it is set again.
    base::instant m_valid_until;
    std::int64_t m_in_flight{0};
    std::int64_t m_peak{0};
    std::int64_t m_offered{0};
    /// Recent refusals, decaying over about a second.
    double m_refused{0};
    std::int64_t m_refused_at_once{0};
    base::instant m_reported_at;
    contract_demand m_demand;
    /// Smoothed duration of finished calls, in seconds.
    double m_call_time_s{0.1};
};

} // namespace berylhill::calls
