#pragma once

#include <base/time.hpp>
#include <model/job.hpp>
#include <placement/hold.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace berylhill::placement
{

enum class hold_mode : std::uint8_t
{
    start, ///< Hold and commit in one step.
    hold,  ///< Hold only; a commit or a release follows.
};

/// Asks a group's owner for a hold.
struct hold_order
{
    std::string group;
    hold_mode mode{hold_mode::start};
    hold_request request;

    friend bool operator==(hold_order const&, hold_order const&) = default;
};

/// Commits or releases one attempt at its group's owner.
struct attempt_order
{
    std::string group;
    model::attempt_id attempt;

    friend bool operator==(attempt_order const&,
                           attempt_order const&) = default;
};

/// Asks a group's owner to reserve the group for a job that has waited long.
struct reserve_order
{
    std::string group;
    std::string job;
    base::instant frees_at{};
    base::instant until{};

    friend bool operator==(reserve_order const&,
                           reserve_order const&) = default;
};

/// Changes the planned resources of a running attempt after its estimate has
/// changed. Losing this order is safe and only wastes capacity.
struct resize_order
{
    std::string group;
    model::attempt_id attempt;
    model::resources need;

    friend bool operator==(resize_order const&, resize_order const&) = default;
};

/// The final state of a job, with the reason if it did not succeed.
struct job_outcome
{
    std::string job;
    model::job_state state{model::job_state::succeeded};
    std::string detail;

    friend bool operator==(job_outcome const&, job_outcome const&) = default;
};

/// The actions that the owner of a job queue has to take after an event.
struct queue_actions
{
    std::vector<hold_order> holds;
    std::vector<attempt_order> commits;
    /// Holds to release and running attempts to stop.
    std::vector<attempt_order> releases;
    std::vector<reserve_order> reservations;
    std::vector<resize_order> resizes;
    std::vector<job_outcome> outcomes;

    void append(queue_actions const& it);

    [[nodiscard]] bool empty() const noexcept
    {
        return holds.empty() && commits.empty() && releases.empty() &&
               reservations.empty() && resizes.empty() && outcomes.empty();
    }
};

} // namespace berylhill::placement
