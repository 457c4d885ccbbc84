#pragma once

#include <base/time.hpp>
#include <calls/generator.hpp>

#include <cstdint>
#include <string>
#include <unordered_map>

namespace berylhill::calls
{

/// How much may be sent again.
struct retry_settings
{
    /// Resends a first attempt pays for.
    double share{0.1};
    /// Resends that may be saved up, so that a quiet contract can resend at
    /// all.
    double most_saved{10};
    /// Attempts at one call, the first one included.
    std::int32_t most_attempts{3};
    base::duration first_back_off{std::chrono::milliseconds{10}};
    base::duration longest_back_off{std::chrono::seconds{1}};

    friend bool operator==(retry_settings const&,
                           retry_settings const&) = default;
};

/// Resends and hedges that each contract may still spend at this entry. It
/// guards against retry storms: when minions fail, plain retries multiply the
/// load that made them fail. Here the sends are at most (1 + share) times the
/// first attempts, plus what was saved. Not thread-safe.
class retry_budget
{
public:
    retry_budget(retry_settings const& settings, generator random);

    /// Notes a first attempt, which pays for a part of a resend.
    void first_attempt(std::string const& contract);

    /// Takes one resend out of the contract's budget, if there is one.
    [[nodiscard]] bool take(std::string const& contract);

    /// Whether `take` would succeed.
    [[nodiscard]] bool has(std::string const& contract) const;

    /// How long to wait before attempt number `attempt`, counted from 1 for
    /// the first resend: doubling, from half to the whole, so that calls which
    /// failed together do not come back together.
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
