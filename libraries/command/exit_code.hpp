#pragma once

#include <base/failure.hpp>

#include <cstdint>

namespace berylhill::command
{

/// What the process's exit status says; scripts may rely on it.
enum class exit_code : std::uint8_t
{
    done = 0,
    refused = 1,         ///< Somebody or some limit said no; nothing was done.
    bad_input = 2,       ///< The command line or a file is wrong.
    unavailable = 3,     ///< Nobody could be reached, or it is not there yet.
    outcome_unknown = 4, ///< It may or may not have been done.
};

[[nodiscard]] exit_code exit_code_of(base::failure_code code) noexcept;

} // namespace berylhill::command
