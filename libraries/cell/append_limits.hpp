#pragma once

#include <scheduler/record.hpp>

#include <cstddef>
#include <vector>

namespace berylhill::cell
{

/// How much the store takes. A value.
struct append_limits
{
    /// Of one record, with its key.
    std::size_t record_bytes{262'144};
    /// Of the records of one call.
    std::size_t call_bytes{2'097'152};

    friend bool operator==(append_limits const&,
                           append_limits const&) = default;
};

/// The size of a record as the store counts it against `record_bytes`. Pure;
/// thread-safe.
[[nodiscard]] inline std::size_t stored_size(scheduler::record const& it)
{
    constexpr std::size_t key_length_bytes = 1;
    return key_length_bytes + it.key.size() + it.value.size();
}

/// The size of a record as the store counts it against `call_bytes`. Pure;
/// thread-safe.
[[nodiscard]] inline std::size_t size_in_call(scheduler::record const& it)
{
    constexpr std::size_t record_length_bytes = 4;
    return record_length_bytes + stored_size(it);
}

} // namespace berylhill::cell
