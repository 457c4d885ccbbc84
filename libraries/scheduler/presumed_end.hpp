#pragma once

#include <base/time.hpp>
#include <scheduler/orders.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace berylhill::scheduler
{

/// An attempt that the owner took to be over although no instance reported its
/// end. A value.
struct presumed_end
{
    std::uint32_t run{0};
    std::string instance;
    /// `lease_lapsed` if a report of the instance did not name the attempt.
    end_reason reason{end_reason::instance_silent};
    /// When the instance last reported to this owner; empty: never.
    std::optional<base::instant> reported_at;

    friend bool operator==(presumed_end const&, presumed_end const&) = default;
};

} // namespace berylhill::scheduler
