#pragma once

#include <platform/minion_link.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace berylhill::calls
{

/// Whether the call may have run. `not_run` is a guarantee.
enum class ran : std::uint8_t
{
    not_run,
    unknown,
};

/// Why a call got no answer from its service.
enum class refusal_code : std::uint8_t
{
    malformed,           ///< The request is malformed.
    unknown_contract,    ///< No such contract is in force.
    service_not_allowed, ///< The contract does not include this service.
    no_such_service,     ///< No minion of this service is known.
    rate_limited,        ///< The contract's calls per second are exceeded.
    too_many_at_once,    ///< The contract's concurrent calls are exceeded.
    overloaded,          ///< No minion has a free slot in time.
    deadline_too_short,  ///< The call cannot be answered before its deadline.
    no_minion,           ///< No minion accepts work at present.
    minion_refused,      ///< The minion could not be reached, or refused.
    log_unavailable,     ///< The intent could not be written to the log.
    key_in_progress,     ///< The first call with this key is still in progress.
    key_conflict,        ///< The key was used with a different request.
    outcome_unknown,     ///< The call was sent and no complete answer arrived.
    stopping,            ///< This entry is shutting down.
};

/// The stable, lower-case name used on the wire and in logs.
[[nodiscard]] std::string_view name_of(ran it) noexcept;
[[nodiscard]] std::string_view name_of(refusal_code it) noexcept;

/// The value with this name. Names introduced by a newer version map to
/// `unknown` and `outcome_unknown`, which guarantee nothing.
[[nodiscard]] ran execution_state_from(std::string_view name) noexcept;
[[nodiscard]] refusal_code refusal_code_from(std::string_view name) noexcept;

/// The final answer to a call that is not answered by its service. A value.
struct refusal
{
    ran execution{ran::unknown};
    refusal_code code{refusal_code::outcome_unknown};
    /// A human-readable explanation.
    std::string reason;
    /// Seconds until a retry makes sense; 0 if it never does.
    double retry_after_s{0};

    friend bool operator==(refusal const&, refusal const&) = default;
};

/// How a call ended: the complete answer of the service, or a refusal. A value.
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
