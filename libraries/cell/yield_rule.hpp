#pragma once

#include <base/time.hpp>
#include <cell/peer.hpp>

#include <cstdint>
#include <vector>

namespace berylhill::cell
{

/// What an owner knows of itself and the others. A value.
struct owner_load
{
    std::int64_t millicores{0};
    base::duration owned_for{0};
    /// How late its event loop runs what is due.
    base::duration lag{0};
    /// The processes that watch it.
    std::vector<peer> others;
};

enum class yield_reason : std::uint8_t
{
    none,
    /// Another instance has much more processor time.
    larger_instance,
    /// It cannot keep up, and another one has at least as much.
    overloaded,
};

/// For logs.
[[nodiscard]] char const* name_of(yield_reason it);

/// Whether an owner hands its work to another process. An owner on a small
/// instance, or on one that has turned slow, holds up the whole cell: its
/// answers come late, so the others take it for lost, and the work goes from
/// one small instance to the next. A change costs some tenths of a second, so
/// one that has just begun goes on.
[[nodiscard]] yield_reason should_yield(owner_load const& it);

} // namespace berylhill::cell
