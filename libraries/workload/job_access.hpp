#pragma once

#include <string>

namespace berylhill::workload
{

/// Returns whether a caller of one client account may see and cancel a job of
/// another. Jobs submitted without a key belong to no account, and queues that
/// require no key are open to all. Pure; thread-safe.
[[nodiscard]] inline bool may_use(std::string const& caller,
                                  std::string const& owner)
{
    return caller.empty() || owner.empty() || caller == owner;
}

} // namespace berylhill::workload
