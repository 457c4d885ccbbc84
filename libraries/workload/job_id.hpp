#pragma once

#include <base/result.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace berylhill::workload
{

/// The id that a client chose for its job; 16 lower-case hex digits as text. A
/// value.
struct job_id
{
    std::uint64_t number{0};

    friend auto operator<=>(job_id const&, job_id const&) = default;
};

/// Fails with `invalid` for anything but 16 lower-case hex digits.
[[nodiscard]] base::result<job_id> parse_job_id(std::string_view text);

[[nodiscard]] std::string text_of(job_id it);

} // namespace berylhill::workload

template <>
struct std::hash<berylhill::workload::job_id>
{
    std::size_t operator()(berylhill::workload::job_id it) const noexcept
    {
        return std::hash<std::uint64_t>{}(it.number);
    }
};
