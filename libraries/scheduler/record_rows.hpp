#pragma once

#include <json_codec/reader.hpp>

#include <cstddef>
#include <cstdint>
#include <string>

namespace berylhill::scheduler
{

// Access to the elements of the rows that records consist of. Empty elements at
// the end of a row are omitted, so a missing element reads as empty. Pure;
// thread-safe.

[[nodiscard]] inline std::int64_t at_or(boost::json::array const& it,
                                        std::size_t n)
{
    return n < it.size() ? json_codec::as_number(it[n]) : 0;
}

[[nodiscard]] inline std::string text_at(boost::json::array const& it,
                                         std::size_t n)
{
    return n < it.size() ? json_codec::as_text(it[n]) : std::string{};
}

} // namespace berylhill::scheduler
