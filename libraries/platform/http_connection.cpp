#include <platform/http_connection.hpp>

#include <sys/socket.h>

#include <cerrno>
#include <utility>

namespace berylhill::platform
{

http_connection::http_connection(std::string const& host,
                                 int port,
                                 deadline_guard& guard)
    : m_client{host, port}
    , m_guard{guard}
{
    m_client.set_keep_alive(true);
    m_client.set_tcp_nodelay(true);
    m_client.set_url_encode(false);
    m_client.set_follow_location(false);
    m_client.set_socket_options(
        [this](socket_t socket)
        { m_tickets.push_back(m_guard.watch(socket, m_deadline)); });
}

httplib::Result http_connection::send(http_request const& request,
                                      base::instant now,
                                      base::instant at)
{
    auto const left = at - now;
    m_client.set_connection_timeout(left);
    m_client.set_read_timeout(left);
    m_client.set_write_timeout(left);
    m_deadline = at;
    if (m_client.is_socket_open() != 0)
    {
        m_tickets.push_back(m_guard.watch(m_client.socket(), at));
    }
    httplib::Request message;
    message.method = request.method;
    message.path = request.target;
    message.body = request.body;
    for (auto const& it : request.headers)
    {
        message.headers.emplace(it.first, it.second);
    }
    if (!request.content_type.empty())
    {
        message.headers.emplace("Content-Type", request.content_type);
    }
    auto result = m_client.send(message);
    for (auto const it : std::exchange(m_tickets, {}))
    {
        m_guard.release(it);
    }
    return result;
}

bool http_connection::quiet() const
{
    if (m_client.is_socket_open() == 0)
    {
        return false;
    }
    char buf = 0;
    auto const n = ::recv(m_client.socket(), &buf, 1, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace berylhill::platform
