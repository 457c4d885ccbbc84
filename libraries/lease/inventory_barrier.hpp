#pragma once

#include <base/time.hpp>

#include <map>
#include <string>
#include <vector>

namespace berylhill::lease
{

/// Holds back placements in a group that was taken over until it is known what
/// runs there. A value; not thread-safe.
///
/// Guards against a second copy of a task, or a worker given more than it
/// holds, after a takeover: the new owner does not know what the last one
/// started. It knows for each worker that has answered, has been dropped from
/// the platform's list, or whose leases have lapsed. Tasks that run are
/// adopted and renewed meanwhile.
class inventory_barrier
{
public:
    /// `lapses_at`: when the leases of each of the group's workers have lapsed
    /// for sure (`worker_lease::lapses_at`).
    explicit inventory_barrier(std::map<std::string, base::instant> expires_at);

    void inventory_received(std::string const& worker);
    /// The platform's list does not have it any more.
    void worker_removed(std::string const& worker);

    /// Placements in the group may begin.
    [[nodiscard]] bool is_open(base::instant now) const;

    /// Workers whose tasks are not known at `now`.
    [[nodiscard]] std::vector<std::string> missing(base::instant now) const;

    friend bool operator==(inventory_barrier const&,
                           inventory_barrier const&) = default;

private:
    std::map<std::string, base::instant> m_missing;
};

} // namespace berylhill::lease
