#pragma once

#include <base/time.hpp>
#include <network/socket_address.hpp>

#include <cstdint>
#include <string>

namespace berylhill::cell
{

/// Who owns the cell's work, as far as is known. A value.
struct owner_view
{
    /// The offset of its claim plus one; 0: no owner is known.
    std::uint64_t token{0};
    std::string instance;
    network::socket_address address;
    /// Of its process; another life at the same address is no owner.
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

/// Whether `it` takes the work over before `other`: where there is more
/// processor time, since the owner of a large cell needs more than a small
/// instance has; of equals by address, so that all agree.
[[nodiscard]] inline bool comes_before(peer const& it, peer const& other)
{
    if (it.millicores != other.millicores)
    {
        return it.millicores > other.millicores;
    }
    return it.address < other.address;
}

} // namespace berylhill::cell
