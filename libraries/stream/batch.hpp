#pragma once

#include <base/result.hpp>

#include <json/value.h>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Client of the platform's log: group commit, reading back, snapshots.
namespace berylhill::stream
{

/// Where an entry stands: the record's offset and its place in the record.
struct position
{
    std::int64_t offset{0};
    std::int32_t index{0};

    friend auto operator<=>(position const&, position const&) = default;
};

/// One record of the log: entries that were committed together. A record
/// without entries is a fence, see `writer_state`.
struct batch
{
    /// Incarnation of the writing process, and which of its writers.
    std::string writer;
    /// Rises with each append of this writer.
    std::int64_t sequence{0};
    std::vector<Json::Value> entries;

    friend bool operator==(batch const&, batch const&) = default;
};

/// The record's body from entries that are JSON text already.
[[nodiscard]] std::string body_of(std::string_view writer,
                                  std::int64_t sequence,
                                  std::vector<std::string> const& entries);

/// Fails with `invalid` for a body that none of our writers wrote.
[[nodiscard]] base::result<batch> batch_from(std::string_view body);

} // namespace berylhill::stream
