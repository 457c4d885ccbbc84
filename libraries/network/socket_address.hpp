#pragma once

#include <base/result.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace berylhill::network
{

/// An IPv4 address and a port. A value.
struct socket_address
{
    std::string host;
    std::uint16_t port{0};

    friend auto operator<=>(socket_address const&,
                            socket_address const&) = default;
};

/// Reads `IP:port`. Fails with `invalid`.
[[nodiscard]] base::result<socket_address>
parse_socket_address(std::string_view text);

/// The same for text that was checked before, or that names a service which
/// may be missing: empty where it cannot be read, so that calls to it fail.
[[nodiscard]] socket_address address_or_empty(std::string_view text);

/// `IP:port`.
[[nodiscard]] std::string text_of(socket_address const& it);

} // namespace berylhill::network
