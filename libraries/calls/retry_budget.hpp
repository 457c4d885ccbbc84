#pragma once

#include <base/time.hpp>
#include <calls/generator.hpp>

#include <cstdint>
#include <string>
#include <unordered_map>

namespace berylhill::calls
{

/// Limits on resends.
struct retry_settings
{
    /// Fraction of a resend that each first attempt adds to the budget.
    double share{0.1};
    /// Maximum number of resends in the budget, so that a contract with few
    /// calls can resend at all.
    double max_saved{10};
    /// Maximum number of attempts at one call, the first one included.
    std::int32_t max_attempts{3};
    base::duration first_back_off{std::chrono::milliseconds{10}};
    base::duration max_back_off{std::chrono::seconds{1}};

    friend bool operator==(retry_settings const&,
                           retry_settings const&) = default;
};

/// Budget of resends and hedges for each contract at this entry. It guards
/// against retry storms: when minions fail, unlimited retries multiply the load
/// that made them fail. The number of sends is at most (1 + share) times the
/// number of first attempts, plus the saved budget. Not thread-safe.
class retry_budget
{
public:
    retry_budget(retry_settings const& settings, generator random);

    /// Records a first attempt, which adds a fraction of a resend to the
    /// budget.
    void add_first_attempt(std::string const& contract);

    /// Takes one resend from the contract's budget, if it has one.
    [[nodiscard]] bool take_resend(std::string const& contract);

    /// Whether `take` would succeed.
    [[nodiscard]] bool has_resend(std::string const& contract) const;

    /// Delay before attempt number `attempt`, counted from 1 for the first
    /// resend. It doubles with each attempt and is drawn at random between half
    /// of the value and the value, so that calls that failed together are not
    /// resent together.
    [[nodiscard]] base::duration back_off(std::int32_t attempt);

    [[nodiscard]] retry_settings const& settings() const noexcept
    {
        return m_settings;
    }

    void remove_contract(std::string const& contract);

private:
    retry_settings m_settings;
    generator m_random;
    std::unordered_map<std::string, double> m_saved;
};

} // namespace berylhill::calls
