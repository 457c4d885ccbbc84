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

    friend auto operator<=>(peer const&, peer const&) = default;
};

} // namespace berylhill::cell
