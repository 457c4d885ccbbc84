#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace berylhill::network
{

/// No delay of small packets, and an end to a connection whose bytes stay
/// unacknowledged, which a silent link causes without any error. Errors of
/// the options themselves are logged and leave the socket as it was.
void set_call_options(boost::asio::ip::tcp::socket& it);

} // namespace berylhill::network
