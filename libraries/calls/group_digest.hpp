#pragma once

#include <base/time.hpp>

#include <cstdint>
#include <string>

namespace berylhill::calls
{

/// The load summary that the owner of a group gossips. It may be out of date
/// and is used only to choose between groups. A value.
struct group_digest
{
    std::string group;
    std::string service;
    /// The entry that owns the group, and the epoch of its ownership lease.
    std::string owner;
    std::int64_t epoch{0};
    /// Increases with each digest of this owner and epoch.
    std::int64_t sequence{0};
    /// Usable slots on the group's minions, and how many of them are in use.
    std::int32_t slots{0};
    std::int32_t busy{0};
    std::int32_t queued{0};
    /// Smoothed running time of a call on a minion of the group.
    base::duration run_time{0};
    /// Expected time that a call of a contract with average weight would wait
    /// for a slot now.
    base::duration expected_wait{0};

    friend bool operator==(group_digest const&, group_digest const&) = default;
};

} // namespace berylhill::calls
