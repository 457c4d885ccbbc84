#pragma once

#include <model/resources.hpp>

#include <compare>
#include <cstdint>
#include <string>

namespace berylhill::placement
{

/// Summary of a group's free capacity, small enough to be sent around often. It
/// may be out of date; only the group's owner knows the exact state.
struct group_digest
{
    std::string group;
    std::string zone;
    std::string rack;
    std::int32_t workers{0};
    /// Sums over the workers that accept new tasks.
    model::resources total;
    model::resources free;
    /// The free capacity of the worker whose dominant share in use is smallest.
    model::resources largest_free;
    /// The largest capacity of a worker, in each dimension.
    model::resources largest_worker;
    /// Resources of the running normal tasks that may be preempted by a
    /// checkpoint.
    model::resources preemptible;
    std::int32_t running{0};
    std::int32_t held{0};
    /// The job that the group's capacity is reserved for; empty for none.
    std::string reserved_for;
    /// Attempts that ended recently and those of them that failed, for the
    /// cell's failure rate.
    std::int32_t ended{0};
    std::int32_t failed{0};

    friend bool operator==(group_digest const&, group_digest const&) = default;
};

} // namespace berylhill::placement
