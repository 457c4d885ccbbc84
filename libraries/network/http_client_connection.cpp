#include <network/http_client_connection.hpp>

#include <sys/socket.h>

#include <cerrno>

namespace berylhill::network
{

bool http_client::connection::reusable()
{
    if (buf.size() != 0)
    {
        return false;
    }
    char byte = 0;
    auto const n = ::recv(socket.native_handle(), &byte, sizeof byte,
                          MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace berylhill::network
