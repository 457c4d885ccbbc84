#include <scenario/cell.hpp>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace berylhill::scenario
{

std::vector<int> free_ports(int count)
{
    // All stay bound until the last is known, so that no two are the same.
    std::vector<int> sockets;
    std::vector<int> ports;
    for (int n = 0; n < count; ++n)
    {
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(at);
        auto* const address = reinterpret_cast<sockaddr*>(&at);
        auto const socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockets.push_back(socket);
        if (::bind(socket, address, size) == 0 &&
            ::getsockname(socket, address, &size) == 0)
        {
            ports.push_back(ntohs(at.sin_port));
        }
    }
    for (auto const it : sockets)
    {
        ::close(it);
    }
    return ports;
}

} // namespace berylhill::scenario
