#pragma once

#include <base/result.hpp>

#include <json/value.h>

#include <compare>
#include <cstdint>
#include <string>
#include <variant>

/// Ownership of units (groups of endpoints and shards of jobs), agreed on
/// through one stream of the platform's log.
namespace berylhill::ownership
{

/// A process becomes a member; older incarnations of its instance have ended.
struct join
{
    std::string incarnation;
    std::string instance;
    std::string zone;

    friend auto operator<=>(join const&, join const&) = default;
};

/// A process has stopped acting as part of a planned stop.
struct leave
{
    std::string incarnation;

    friend auto operator<=>(leave const&, leave const&) = default;
};

/// The instance of this process is no longer on the platform's endpoint list.
struct removal
{
    std::string incarnation;

    friend auto operator<=>(removal const&, removal const&) = default;
};

/// The process has read all records before `through`. It therefore knows every
/// member that joined before, and will ask each of them to vouch.
struct seen
{
    std::string incarnation;
    std::int64_t through{0};

    friend auto operator<=>(seen const&, seen const&) = default;
};

/// A process claims a unit. Takes effect only if `follows` is the offset of the
/// unit's last change, or -1 if the unit has never changed.
struct claim
{
    std::string unit;
    std::string incarnation;
    std::int64_t follows{-1};

    friend auto operator<=>(claim const&, claim const&) = default;
};

/// The owner has stopped acting for the unit. The process in `successor` is the
/// owner from this record on; if it is empty, the unit is free.
struct release
{
    std::string unit;
    std::string incarnation;
    std::int64_t epoch{0};
    std::string successor;

    friend auto operator<=>(release const&, release const&) = default;
};

/// The table after all records before `through`.
struct snapshot
{
    std::int64_t through{0};
    /// JSON text written by `claim_table::to_snapshot`.
    std::string table;

    friend auto operator<=>(snapshot const&, snapshot const&) = default;
};

using record =
    std::variant<join, leave, removal, seen, claim, release, snapshot>;

[[nodiscard]] Json::Value to_json(record const& it);

/// Fails with `invalid` if the value is not an object or its type is unknown.
[[nodiscard]] base::result<record> record_from(Json::Value const& it);

} // namespace berylhill::ownership
