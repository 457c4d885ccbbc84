#pragma once

#include <base/result.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace berylhill::cell
{

/// The text in fewer bytes, in zlib's format. Pure; thread-safe.
[[nodiscard]] std::string compressed(std::string_view text);

/// The text that was packed. Fails with `invalid` where it isn't such a text
/// or has more than `most_bytes`. Pure; thread-safe.
[[nodiscard]] base::result<std::string> decompressed(std::string_view it,
                                                     std::size_t most_bytes);

} // namespace berylhill::cell
