#include <scenario/cell.hpp>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <iterator>
#include <random>

namespace berylhill::scenario
{

namespace
{

/// Below the range that the kernel takes for outgoing connections: a port from
/// there can be gone again before the process that it is meant for has bound
/// it, as the many connections of a run come and go. Below the ranges of the
/// soak and of the tests too, where the ports of a process that a run has
/// killed are free until it starts it again.
constexpr int s_first = 10'000;
constexpr int s_last = 19'999;
constexpr int s_most_tries = 2'000;

bool bind_port(int socket, int port)
{
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    at.sin_port = htons(static_cast<std::uint16_t>(port));
    return ::bind(socket, reinterpret_cast<sockaddr*>(&at), sizeof(at)) == 0;
}

} // namespace

std::vector<int> free_ports(int count)
{
    // Several runs at once must not try the same ones in the same order.
    std::random_device random;
    std::uniform_int_distribution<int> any{s_first, s_last};
    // All stay bound until the last is known, so that no two are the same.
    std::vector<int> sockets;
    std::vector<int> ports;
    for (int n = 0; n < s_most_tries && std::ssize(ports) < count; ++n)
    {
        auto const port = any(random);
        auto const socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockets.push_back(socket);
        if (bind_port(socket, port))
        {
            ports.push_back(port);
        }
    }
    for (auto const it : sockets)
    {
        ::close(it);
    }
    return ports;
}

} // namespace berylhill::scenario
