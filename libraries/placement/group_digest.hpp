#pragma once

#include <model/resources.hpp>

#include <compare>
#include <cstdint>
#include <string>

namespace berylhill::placement
{

/// A group's free room in few numbers, small enough to gossip. It lags and may
/// be wrong; only the group's owner is exact.
struct group_digest
{
    std::string group;
    std::string zone;
    std::string rack;
    std::int32_t workers{0};
    /// Over the workers that take new tasks.
    model::resources total;
    model::resources free;
    /// Of the one worker that has the most free.
    model::resources largest_free;
    /// The largest worker when empty.
    model::resources largest_worker;
    /// What normal tasks that may be checkpointed use.
    model::resources preemptible;
    std::int32_t running{0};
    std::int32_t held{0};
    /// The job that the group's room is kept for; empty for none.
    std::string reserved_for;
    /// Attempts that ended lately and those of them that failed, for the
    /// cell's failure rate.
    std::int32_t ended{0};
    std::int32_t failed{0};

    friend bool operator==(group_digest const&, group_digest const&) = default;
};

} // namespace berylhill::placement
