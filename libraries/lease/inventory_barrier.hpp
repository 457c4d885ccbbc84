#pragma once

#include <base/time.hpp>

#include <map>
#include <string>
#include <vector>

namespace berylhill::lease
{

/// Blocks placements in a worker group after a takeover until the new owner
/// knows which tasks run there. Not thread-safe.
///
/// The new owner does not know what the previous one started. Placing tasks too
/// early could start a second copy of a task or overload a worker. A worker's
/// tasks are known once it has sent its inventory, has been removed from the
/// platform's endpoint list, or its leases have expired. Meanwhile running
/// tasks are adopted and their leases renewed.
class inventory_barrier
{
public:
    /// `expires_at` gives, for each worker of the group, the instant from which
    /// its leases have certainly expired (`worker_lease::expires_at`).
    explicit inventory_barrier(std::map<std::string, base::instant> expires_at);

    void inventory_received(std::string const& worker);
    /// The worker is no longer on the platform's endpoint list.
    void worker_removed(std::string const& worker);

    /// Returns whether tasks may be placed in the group.
    [[nodiscard]] bool is_open(base::instant now) const;

    /// Workers whose tasks are still unknown at `now`.
    [[nodiscard]] std::vector<std::string> missing(base::instant now) const;

    friend bool operator==(inventory_barrier const&,
                           inventory_barrier const&) = default;

private:
    std::map<std::string, base::instant> m_missing;
};

} // namespace berylhill::lease
