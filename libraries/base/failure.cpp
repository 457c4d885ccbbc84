#include <base/failure.hpp>

#include <array>
#include <utility>

namespace berylhill::base
{

namespace
{

constexpr std::array s_names{
    std::pair{failure_code::invalid, std::string_view{"invalid"}},
    std::pair{failure_code::not_found, std::string_view{"not_found"}},
    std::pair{failure_code::conflict, std::string_view{"conflict"}},
    std::pair{failure_code::refused, std::string_view{"refused"}},
    std::pair{failure_code::unavailable, std::string_view{"unavailable"}},
    std::pair{failure_code::log_unavailable,
              std::string_view{"log_unavailable"}},
    std::pair{failure_code::timed_out, std::string_view{"timed_out"}},
    std::pair{failure_code::superseded, std::string_view{"superseded"}},
    std::pair{failure_code::outcome_unknown,
              std::string_view{"outcome_unknown"}},
};

} // namespace

std::string_view name_of(failure_code code) noexcept
{
    for (auto const& it : s_names)
    {
        if (it.first == code)
        {
            return it.second;
        }
    }
    return "outcome_unknown";
}

failure_code failure_code_from(std::string_view name) noexcept
{
    for (auto const& it : s_names)
    {
        if (it.second == name)
        {
            return it.first;
        }
    }
    return failure_code::outcome_unknown;
}

} // namespace berylhill::base
