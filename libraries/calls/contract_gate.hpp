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

/// The part of a contract's limits that one entry may use.
struct limit_part
{
    double calls_per_s{0};
    double burst{0};
    double at_once{0};

    friend bool operator==(limit_part const&, limit_part const&) = default;
};

/// Admits one contract's calls at one entry: a token bucket and a count, both
/// over this entry's part of the limit. Not thread-safe.
class contract_gate
{
public:
    contract_gate(model::contract limits, base::instant now);

    void set_limits(model::contract const& limits);

    /// The part that the demands of all entries give this one now. A smaller
    /// part is in force at once, a larger one when every part computed since
    /// `settle` ago was as large: until then another entry may still use it.
    /// Set it every gossip round: a part not set for `settle` admits nothing.
    void
    set_part(limit_part const& part, base::instant now, base::duration settle);

    /// Admits a call, or says why not. Ends with `finish` when admitted.
    [[nodiscard]] std::optional<refusal> admit(base::instant now,
                                               generator& random);

    /// An admitted call got its final answer after `took` and `resends`
    /// further attempts. Those are paid afterwards: the next calls wait until
    /// the rate has made up for them. Precondition: `in_flight() > 0`.
    void finish(base::duration took, std::int32_t resends, base::instant now);

    /// An admitted call whose entry is gone ends without a word.
    /// Precondition: `in_flight() > 0`.
    void drop();

    /// The refusal for a call that found every home used up.
    [[nodiscard]] refusal refuse_as_exhausted(generator& random);

    /// What callers asked for since the last report, smoothed.
    [[nodiscard]] contract_demand report(base::instant now);

    [[nodiscard]] model::contract const& limits() const noexcept
    {
        return m_limits;
    }

    [[nodiscard]] limit_part const& part() const noexcept
    {
        return m_part;
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
    limit_part m_part;
    /// Parts computed within the settling time, the oldest first.
    std::deque<std::pair<base::instant, limit_part>> m_parts;
    double m_tokens{0};
    base::instant m_refilled;
    /// The part counts until here unless it is set again.
    base::instant m_valid_until;
    std::int64_t m_in_flight{0};
    std::int64_t m_peak{0};
    std::int64_t m_offered{0};
    /// Within about a second; what is older fades.
    double m_refused{0};
    std::int64_t m_refused_at_once{0};
    base::instant m_reported;
    contract_demand m_demand;
    /// Of finished calls, smoothed; in seconds.
    double m_took_s{0.1};
};

} // namespace berylhill::calls
