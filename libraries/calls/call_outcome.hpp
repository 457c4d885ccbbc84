#pragma once

#include <platform/minion_link.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace berylhill::calls
{

/// What a refusal says about the work. `not_run` is a promise.
enum class ran : std::uint8_t
{
    not_run,
    unknown,
};

/// Why a call got no answer of its service.
enum class refusal_code : std::uint8_t
{
    malformed,           ///< The request itself is wrong.
    unknown_contract,    ///< No such contract is in force.
    service_not_allowed, ///< The contract does not name this service.
    no_such_service,     ///< No minion of this service is known.
    rate_limited,        ///< Above the contract's calls a second.
    too_many_at_once,    ///< Above the contract's calls at once.
    overloaded,          ///< No room in time on any minion.
    deadline_too_short,  ///< It cannot be answered before its deadline.
    no_minion,           ///< No minion takes work now.
    minion_refused,      ///< The minion could not be reached, or said no.
    log_unavailable,     ///< The intent could not be written.
    key_in_progress,     ///< The first call with this key still runs.
    key_conflict,        ///< Another body came under this key before.
    outcome_unknown,     ///< It was sent and no whole answer came.
    stopping,            ///< This entry is shutting down.
};

/// The stable, lower-case name used on the wire and in logs.
[[nodiscard]] std::string_view name_of(ran it) noexcept;
[[nodiscard]] std::string_view name_of(refusal_code it) noexcept;

/// The value with this name. Names from a newer version become `unknown` and
/// `outcome_unknown`, which are never false promises.
[[nodiscard]] ran execution_state_from(std::string_view name) noexcept;
[[nodiscard]] refusal_code refusal_code_from(std::string_view name) noexcept;

/// The final answer to a call that was given up on. A value.
struct refusal
{
    ran execution{ran::unknown};
    refusal_code code{refusal_code::outcome_unknown};
    /// For people.
    std::string reason;
    /// Seconds until asking again makes sense; 0 where it never does.
    double retry_after_s{0};

    friend bool operator==(refusal const&, refusal const&) = default;
};

/// How a call ended: the service's whole answer, or a refusal. A value.
class call_outcome
{
public:
    call_outcome(platform::minion_answer it)
        : m_state{std::move(it)}
    {
    }

    call_outcome(refusal it)
        : m_state{std::move(it)}
    {
    }

    [[nodiscard]] bool is_answer() const noexcept
    {
        return m_state.index() == 0;
    }

    /// Precondition: `is_answer()`.
    [[nodiscard]] platform::minion_answer const& answer() const
    {
        return std::get<0>(m_state);
    }

    /// Precondition: not `is_answer()`.
    [[nodiscard]] refusal const& why() const
    {
        return std::get<1>(m_state);
    }

    friend bool operator==(call_outcome const&, call_outcome const&) = default;

private:
    std::variant<platform::minion_answer, refusal> m_state;
};

} // namespace berylhill::calls
