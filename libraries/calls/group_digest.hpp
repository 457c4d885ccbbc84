#pragma once

#include <base/time.hpp>

#include <cstdint>
#include <string>

namespace berylhill::calls
{

/// What a group's owner gossips of it: enough to choose between groups, and
/// never trusted for more, as it may be late. A value.
struct group_digest
{
    std::string group;
    std::string service;
    /// The entry that owns the group, and the epoch of its right.
    std::string owner;
    std::int64_t epoch{0};
    /// Rises with each digest of this owner and epoch.
    std::int64_t sequence{0};
    /// Slots on minions that take work, and those of them in use.
    std::int32_t slots{0};
    std::int32_t busy{0};
    std::int32_t queued{0};
    /// What a call takes on a minion of the group, smoothed.
    base::duration run_time{0};
    /// What a call of an average contract would wait for its slot now.
    base::duration expected_wait{0};

    friend bool operator==(group_digest const&, group_digest const&) = default;
};

} // namespace berylhill::calls
