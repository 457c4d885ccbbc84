#pragma once

#include <base/result.hpp>

#include <boost/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace berylhill::json_codec
{

/// Parses one JSON text. Fails with `invalid`.
[[nodiscard]] base::result<boost::json::value> parse(std::string_view text);

/// A member of an object by name; null where it is missing or `it` is no
/// object.
[[nodiscard]] boost::json::value const* member(boost::json::value const& it,
                                               std::string_view name);

/// A member as text; `otherwise` where it is missing or of another type.
[[nodiscard]] std::string text_or(boost::json::value const& it,
                                  std::string_view name,
                                  std::string_view otherwise = {});

/// A member as a whole number, rounded down; `otherwise` where it is missing
/// or of another type.
[[nodiscard]] std::int64_t number_or(boost::json::value const& it,
                                     std::string_view name,
                                     std::int64_t otherwise = 0);

[[nodiscard]] double real_or(boost::json::value const& it,
                             std::string_view name,
                             double otherwise = 0);

[[nodiscard]] bool flag_or(boost::json::value const& it,
                           std::string_view name,
                           bool otherwise = false);

/// A value as a whole number; `otherwise` for other types.
[[nodiscard]] std::int64_t as_number(boost::json::value const& it,
                                     std::int64_t otherwise = 0);

/// A value as text; empty for other types.
[[nodiscard]] std::string as_text(boost::json::value const& it);

/// A member that is an array; an empty one where there is none.
[[nodiscard]] boost::json::array const&
array_or_empty(boost::json::value const& it, std::string_view name);

} // namespace berylhill::json_codec
