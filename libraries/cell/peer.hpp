#pragma once

#include <base/time.hpp>
#include <network/socket_address.hpp>

#include <cstdint>
#include <string>

namespace berylhill::cell
{

/// The owner of the cell's work, as far as known. A value.
struct owner_view
{
    /// Fencing token: the offset of its claim plus one; 0: no owner is known.
    std::uint64_t token{0};
    std::string instance;
    network::socket_address address;
    /// Incarnation of its process; a restarted process at the same address is
    /// not the owner.
    std::string incarnation;

    friend bool operator==(owner_view const&, owner_view const&) = default;
};

/// Another process of the cell. A value.
struct peer
{
    std::string instance;
    network::socket_address address;
    /// Processor time that it may use, in thousandths of a core.
    std::int64_t millicores{0};

    friend auto operator<=>(peer const&, peer const&) = default;
};

/// Returns whether `it` succeeds a lost owner before `other`: the process with
/// more processor time comes first, since the owner of a large cell needs more
/// than a small instance has. Equals are ordered by address, so that all
/// processes agree.
[[nodiscard]] inline bool comes_before(peer const& it, peer const& other)
{
    if (it.millicores != other.millicores)
    {
        return it.millicores > other.millicores;
    }
    return it.address < other.address;
}

} // namespace berylhill::cell
