#pragma once

#include <base/result.hpp>

#include <json/value.h>

#include <compare>
#include <cstdint>
#include <string>
#include <variant>

/// Who owns which unit (a group of endpoints, a shard of jobs), agreed through
/// one stream of the platform's log.
namespace berylhill::ownership
{

/// A process begins to take part; older incarnations of its instance are gone.
struct join
{
    std::string incarnation;
    std::string instance;
    std::string zone;

    friend auto operator<=>(join const&, join const&) = default;
};

/// A process has stopped acting, on purpose.
struct leave
{
    std::string incarnation;

    friend auto operator<=>(leave const&, leave const&) = default;
};

/// The platform's list has dropped the instance of this process.
struct removal
{
    std::string incarnation;

    friend auto operator<=>(removal const&, removal const&) = default;
};

/// The process has read all records before `through`, so it knows, and asks
/// for a vouch, every process that joined before.
struct seen
{
    std::string incarnation;
    std::int64_t through{0};

    friend auto operator<=>(seen const&, seen const&) = default;
};

/// Counts only while `follows` is the offset of the unit's last change; -1
/// where it never had one.
struct claim
{
    std::string unit;
    std::string incarnation;
    std::int64_t follows{-1};

    friend auto operator<=>(claim const&, claim const&) = default;
};

/// The owner has stopped acting for the unit. With `successor`, that process
/// is the owner from this record on; without, the unit is free.
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
    /// `claim_table::to_json`, as text.
    std::string table;

    friend auto operator<=>(snapshot const&, snapshot const&) = default;
};

using record =
    std::variant<join, leave, removal, seen, claim, release, snapshot>;

[[nodiscard]] Json::Value to_json(record const& it);

/// Fails with `invalid`.
[[nodiscard]] base::result<record> record_from(Json::Value const& it);

} // namespace berylhill::ownership
