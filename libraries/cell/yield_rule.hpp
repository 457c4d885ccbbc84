#pragma once

#include <base/time.hpp>
#include <cell/peer.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace berylhill::cell
{

/// The load of an owner and the processes that could succeed it. A value.
struct owner_load
{
    std::int64_t millicores{0};
    base::duration owned_for{0};
    /// How late its event loop runs timers that are due.
    base::duration lag{0};
    /// The processes that watch it.
    std::vector<peer> others;
    /// How many instances it sends requests to.
    std::size_t instances{0};
    /// How many owners before it, one after the other, handed over because they
    /// were overloaded.
    std::uint32_t overloaded_owners{0};
};

enum class yield_reason : std::uint8_t
{
    none,
    /// Another instance has much more processor time.
    larger_instance,
    /// The owner cannot keep up, and another instance has at least as much
    /// processor time.
    overloaded,
};

/// The name of the value in logs.
[[nodiscard]] char const* name_of(yield_reason it);

/// Returns whether an owner should hand its work to another process. An owner
/// on a small or slowed-down instance delays the whole cell: its answers come
/// late, so other processes consider it lost and the work moves from one small
/// instance to the next. A change of owner takes some tenths of a second, so an
/// owner that has just taken over continues.
///
/// The load of a takeover is no reason to hand over, since the successor would
/// have to reach all instances as well. So the lag counts as overload
/// only when the takeover should be over. If the owner before was overloaded as
/// well, the work itself may be too much for any equal instance, and each
/// hand-over waits twice as long as the one before.
[[nodiscard]] yield_reason should_yield(owner_load const& it);

/// Returns whether the owner is probably still reaching its instances, so that
/// it may answer late.
[[nodiscard]] bool is_taking_over(owner_load const& it);

/// Returns whether the owner has shown that it can handle the work, so that a
/// later overload has another cause than that of the owners before.
[[nodiscard]] bool handles_load(owner_load const& it);

} // namespace berylhill::cell
