#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace berylhill::base
{

/// XXH3 of the text: the same on every machine and in every version.
[[nodiscard]] std::uint64_t hash_of(std::string_view text) noexcept;

/// The candidates ordered by rendezvous (highest random weight) for `key`:
/// adding or removing one candidate moves only the keys that it wins or loses.
/// Equal for every process with the same candidates, in any order.
[[nodiscard]] std::vector<std::string>
rendezvous_order(std::string_view key, std::vector<std::string> candidates);

/// A fresh identifier of 32 hex digits from the system's entropy source.
/// Thread-safe.
[[nodiscard]] std::string random_id();

} // namespace berylhill::base
