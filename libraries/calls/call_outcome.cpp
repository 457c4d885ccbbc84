#include <calls/call_outcome.hpp>

#include <array>

namespace berylhill::calls
{

namespace
{

constexpr std::array s_codes{
    std::pair{refusal_code::malformed, std::string_view{"malformed"}},
    std::pair{refusal_code::unknown_contract,
              std::string_view{"unknown_contract"}},
    std::pair{refusal_code::service_not_allowed,
              std::string_view{"service_not_allowed"}},
    std::pair{refusal_code::no_such_service,
              std::string_view{"no_such_service"}},
    std::pair{refusal_code::rate_limited, std::string_view{"rate_limited"}},
    std::pair{refusal_code::too_many_at_once,
              std::string_view{"too_many_at_once"}},
    std::pair{refusal_code::overloaded, std::string_view{"overloaded"}},
    std::pair{refusal_code::deadline_too_short,
              std::string_view{"deadline_too_short"}},
    std::pair{refusal_code::no_minion, std::string_view{"no_minion"}},
    std::pair{refusal_code::minion_refused, std::string_view{"minion_refused"}},
    std::pair{refusal_code::log_unavailable,
              std::string_view{"log_unavailable"}},
    std::pair{refusal_code::key_in_progress,
              std::string_view{"key_in_progress"}},
    std::pair{refusal_code::key_conflict, std::string_view{"key_conflict"}},
    std::pair{refusal_code::outcome_unknown,
              std::string_view{"outcome_unknown"}},
    std::pair{refusal_code::stopping, std::string_view{"stopping"}},
};

} // namespace

std::string_view name_of(ran it) noexcept
{
    return it == ran::not_run ? "not_run" : "unknown";
}

ran execution_state_from(std::string_view name) noexcept
{
    return name == "not_run" ? ran::not_run : ran::unknown;
}

std::string_view name_of(refusal_code code) noexcept
{
    for (auto const& it : s_codes)
    {
        if (it.first == code)
        {
            return it.second;
        }
    }
    return "outcome_unknown";
}

refusal_code refusal_code_from(std::string_view name) noexcept
{
    for (auto const& it : s_codes)
    {
        if (it.second == name)
        {
            return it.first;
        }
    }
    return refusal_code::outcome_unknown;
}

} // namespace berylhill::calls
