#include <rpc/frame_socket.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <utility>

namespace berylhill::rpc
{

namespace
{

using base::failure_code;

constexpr int s_backlog = 256;

/// What is read of a request at a time.
constexpr std::size_t s_piece = std::size_t{64} * 1'024;

base::instant now()
{
    return base::system_clock{}.now();
}

int poll_ms(base::instant until)
{
    auto const left = until - now();
    if (left <= base::duration::zero())
    {
        return 0;
    }
    return static_cast<int>(left.count() / 1000) + 1;
}

bool wait_for(int descriptor, short events, base::instant until)
{
    pollfd it{descriptor, events, 0};
    for (;;)
    {
        auto const n = ::poll(&it, 1, poll_ms(until));
        if (n > 0)
        {
            return true;
        }
        if (n == 0 || errno != EINTR)
        {
            return false;
        }
    }
}

base::result<sockaddr_in> parse_address(std::string const& text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string::npos)
    {
        return base::fail(failure_code::invalid,
                          "'" + text + "' is not IP:port");
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    std::uint16_t port = 0;
    auto const* const end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data() + colon + 1, end, port);
    auto const host = text.substr(0, colon);
    if (parsed.ec != std::errc{} || parsed.ptr != end ||
        inet_pton(AF_INET, host.c_str(), &address.sin_addr) != 1)
    {
        return base::fail(failure_code::invalid,
                          "'" + text + "' is not IP:port");
    }
    address.sin_port = htons(port);
    return address;
}

void set_options(int descriptor)
{
    ::fcntl(descriptor, F_SETFL, O_NONBLOCK);
    int const one = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
}

} // namespace

frame_socket::frame_socket(int descriptor)
    : m_descriptor{descriptor}
{
    set_options(descriptor);
}

frame_socket::~frame_socket()
{
    if (m_descriptor >= 0)
    {
        ::close(m_descriptor);
    }
}

frame_socket::frame_socket(frame_socket&& other) noexcept
    : m_descriptor{std::exchange(other.m_descriptor, -1)}
{
}

frame_socket& frame_socket::operator=(frame_socket&& other) noexcept
{
    std::swap(m_descriptor, other.m_descriptor);
    return *this;
}

base::result<frame_socket> frame_socket::connect(std::string const& address,
                                                 base::duration timeout)
{
    BOOST_LEAF_AUTO(target, parse_address(address));
    auto const until = now() + timeout;
    frame_socket it{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)};
    auto const* const generic = reinterpret_cast<sockaddr const*>(&target);
    auto const started = ::connect(it.m_descriptor, generic, sizeof target);
    if (started != 0 && errno != EINPROGRESS)
    {
        return base::fail(failure_code::unavailable,
                          address + ": " + std::strerror(errno));
    }
    if (!wait_for(it.m_descriptor, POLLOUT, until))
    {
        return base::fail(failure_code::unavailable,
                          address + ": connect timed out");
    }
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(it.m_descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0)
    {
        return base::fail(failure_code::unavailable,
                          address + ": " + std::strerror(error));
    }
    return it;
}

base::result<base::done> frame_socket::write(std::string const& frame,
                                             base::duration timeout)
{
    if (frame.size() > longest_frame)
    {
        return base::fail(failure_code::invalid, "frame too long");
    }
    auto const until = now() + timeout;
    auto const size = htonl(static_cast<std::uint32_t>(frame.size()));
    std::string buf(sizeof size, '\0');
    std::memcpy(buf.data(), &size, sizeof size);
    buf += frame;
    std::size_t sent = 0;
    while (sent < buf.size())
    {
        auto const n = ::send(m_descriptor, buf.data() + sent,
                              buf.size() - sent, MSG_NOSIGNAL);
        if (n > 0)
        {
            sent += static_cast<std::size_t>(n);
            continue;
        }
        if (n < 0 && (errno == EAGAIN || errno == EINTR) &&
            wait_for(m_descriptor, POLLOUT, until))
        {
            continue;
        }
        return base::fail(failure_code::outcome_unknown,
                          "the connection broke while writing");
    }
    return base::done{};
}

base::result<std::string> frame_socket::read(base::duration timeout)
{
    auto const until = now() + timeout;
    BOOST_LEAF_AUTO(size, read_size(until, timeout));
    std::string frame(size, '\0');
    BOOST_LEAF_CHECK(read_bytes(frame.data(), frame.size(), until));
    return frame;
}

base::result<std::string> frame_socket::read_request(base::duration idle,
                                                     base::duration limit,
                                                     frame_share& share)
{
    BOOST_LEAF_AUTO(size, read_size(now() + idle, limit));
    auto const until = now() + limit;
    // Address space only: its pages are used as bytes arrive. A buffer that
    // grew instead would leave copies, which `share` does not count.
    std::string frame;
    frame.reserve(size);
    while (frame.size() < size)
    {
        auto const got = frame.size();
        auto const next = std::min(size, got + s_piece);
        if (!share.grow_to(next))
        {
            return base::fail(failure_code::refused,
                              "too much memory in requests");
        }
        frame.resize(next);
        BOOST_LEAF_CHECK(read_bytes(frame.data() + got, next - got, until));
    }
    return frame;
}

/// The size that a frame announces. Its first byte comes by `first_byte_by`,
/// the others within `limit` of it.
base::result<std::size_t> frame_socket::read_size(base::instant first_byte_by,
                                                  base::duration limit) const
{
    std::uint32_t size = 0;
    std::array<char, sizeof size> head{};
    BOOST_LEAF_CHECK(read_bytes(head.data(), 1, first_byte_by));
    BOOST_LEAF_CHECK(
        read_bytes(head.data() + 1, head.size() - 1, now() + limit));
    std::memcpy(&size, head.data(), sizeof size);
    size = ntohl(size);
    if (size > longest_frame)
    {
        return base::fail(failure_code::invalid, "frame too long");
    }
    return std::size_t{size};
}

base::result<base::done> frame_socket::read_bytes(char* into,
                                                  std::size_t size,
                                                  base::instant until) const
{
    std::size_t got = 0;
    while (got < size)
    {
        auto const n = ::recv(m_descriptor, into + got, size - got, 0);
        if (n > 0)
        {
            got += static_cast<std::size_t>(n);
            continue;
        }
        if (n < 0 && (errno == EAGAIN || errno == EINTR) &&
            wait_for(m_descriptor, POLLIN, until))
        {
            continue;
        }
        return base::fail(failure_code::outcome_unknown,
                          n == 0 ? "the connection was closed"
                                 : "no whole answer in time");
    }
    return base::done{};
}

bool frame_socket::spoiled() const
{
    char byte = 0;
    auto const n = ::recv(m_descriptor, &byte, 1, MSG_PEEK);
    return n >= 0 || (errno != EAGAIN && errno != EINTR);
}

void frame_socket::shut_down() const
{
    ::shutdown(m_descriptor, SHUT_RDWR);
}

base::result<int> listen_at(std::string const& address)
{
    BOOST_LEAF_AUTO(target, parse_address(address));
    auto const descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int const one = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    auto const* const generic = reinterpret_cast<sockaddr const*>(&target);
    if (::bind(descriptor, generic, sizeof target) != 0 ||
        ::listen(descriptor, s_backlog) != 0)
    {
        auto const message = address + ": " + std::strerror(errno);
        ::close(descriptor);
        return base::fail(failure_code::unavailable, message);
    }
    return descriptor;
}

std::string bound_address(int descriptor)
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    std::array<char, INET_ADDRSTRLEN> host{};
    inet_ntop(AF_INET, &address.sin_addr, host.data(), host.size());
    return std::string{host.data()} + ":" +
           std::to_string(ntohs(address.sin_port));
}

} // namespace berylhill::rpc
