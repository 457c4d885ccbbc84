#pragma once

#include <base/result.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace berylhill::cell
{

/// Returns the text compressed in zlib's format. Pure; thread-safe.
[[nodiscard]] std::string compressed(std::string_view text);

/// Returns the text that was compressed. Fails with `invalid` if the input is
/// not zlib data or the text has more than `max_bytes`. Pure; thread-safe.
[[nodiscard]] base::result<std::string> decompressed(std::string_view it,
                                                     std::size_t max_bytes);

} // namespace berylhill::cell
