#include <tests/platform/scripted_server.hpp>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <utility>

namespace berylhill::tests
{

scripted_server::scripted_server(script it)
    : m_script{std::move(it)}
    , m_listener{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)}
{
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(at);
    auto* const address = reinterpret_cast<sockaddr*>(&at);
    (void)::bind(m_listener, address, size);
    ::listen(m_listener, 16);
    ::getsockname(m_listener, address, &size);
    m_port = ntohs(at.sin_port);
    m_thread = std::thread{[this]
                           {
                               run();
                           }};
}

scripted_server::~scripted_server()
{
    ::shutdown(m_listener, SHUT_RDWR);
    m_thread.join();
    ::close(m_listener);
    {
        std::lock_guard const lock{m_mutex};
        for (auto const it : m_open)
        {
            ::shutdown(it, SHUT_RDWR);
        }
    }
    for (auto& it : m_threads)
    {
        it.join();
    }
}

std::string scripted_server::address() const
{
    return "127.0.0.1:" + std::to_string(m_port);
}

void scripted_server::run()
{
    for (int number = 0;; ++number)
    {
        auto const socket = ::accept(m_listener, nullptr, nullptr);
        if (socket < 0)
        {
            return;
        }
        {
            std::lock_guard const lock{m_mutex};
            m_open.push_back(socket);
        }
        m_threads.emplace_back(
            [this, socket, number]
            {
                m_script(socket, number);
                std::lock_guard const lock{m_mutex};
                std::erase(m_open, socket);
                ::close(socket);
            });
    }
}

std::string scripted_server::read_request(int socket)
{
    std::string text;
    std::array<char, 1> buf{};
    while (text.find("\r\n\r\n") == std::string::npos)
    {
        if (::recv(socket, buf.data(), buf.size(), 0) <= 0)
        {
            return {};
        }
        text += buf[0];
    }
    ++m_requests;
    return text;
}

void scripted_server::await_close(int socket)
{
    std::array<char, 64> buf{};
    while (::recv(socket, buf.data(), buf.size(), 0) > 0)
    {
    }
}

bool scripted_server::write(int socket, std::string_view text)
{
    return ::send(socket, text.data(), text.size(), MSG_NOSIGNAL) ==
           static_cast<ssize_t>(text.size());
}

std::string whole_answer(std::string const& body, std::string const& more)
{
    return "HTTP/1.1 200 OK\r\n" + more +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace berylhill::tests
