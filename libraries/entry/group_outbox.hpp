#pragma once

#include <base/time.hpp>
#include <entry/orders.hpp>

#include <cstdint>
#include <vector>

namespace berylhill::entry
{

/// Orders that wait for one rack's owner. One message is under way at a time,
/// so that orders of one rack arrive in their order, and what comes meanwhile
/// goes together in the next.
struct group_outbox
{
    group_orders waiting;
    bool under_way{false};
    /// The number of the last message that was sent.
    std::int64_t last_number{0};
    /// After a failure nothing is sent before this instant.
    base::instant not_before{};

    /// The attempt has ended: no later message may order its start.
    void forget(model::attempt_id const& attempt)
    {
        std::erase_if(waiting.holds, [&](auto const& it)
                      { return it.request.attempt == attempt; });
        std::erase(waiting.commits, attempt);
    }

    [[nodiscard]] bool empty() const noexcept
    {
        return waiting.holds.empty() && waiting.commits.empty() &&
               waiting.releases.empty() && waiting.reservations.empty();
    }
};

} // namespace berylhill::entry
