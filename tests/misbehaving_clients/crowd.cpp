#include "crowd.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <utility>

namespace berylhill::clients_test
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

class crowd::client : public std::enable_shared_from_this<client>
{
public:
    client(asio::io_context& loop, std::shared_ptr<script const> what)
        : m_socket{loop}
        , m_timer{loop}
        , m_script{std::move(what)}
    {
    }

    void connect(std::uint16_t port)
    {
        m_socket.async_connect({asio::ip::make_address_v4("127.0.0.1"), port},
                               [self = shared_from_this()](auto ec)
                               {
                                   if (ec)
                                   {
                                       self->close();
                                       return;
                                   }
                                   self->send(self->m_script->first);
                                   self->read();
                               });
    }

    void close()
    {
        m_closed = true;
        m_timer.cancel();
        boost::system::error_code ec;
        m_socket.close(ec);
    }

    [[nodiscard]] bool done() const
    {
        return m_closed || m_sent_all;
    }

    [[nodiscard]] bool closed() const
    {
        return m_closed;
    }

    /// 0 without an answer.
    [[nodiscard]] unsigned status() const
    {
        constexpr std::string_view begin = "HTTP/1.1 ";
        constexpr std::size_t digits = 3;
        return m_received.size() < begin.size() + digits
                   ? 0
                   : static_cast<unsigned>(
                         std::stoul(m_received.substr(begin.size(), digits)));
    }

private:
    void send(std::string const& it)
    {
        if (it.empty() || m_sent >= m_script->most_bytes)
        {
            m_sent_all = true;
            return;
        }
        auto const n = std::min(it.size(), m_script->most_bytes - m_sent);
        asio::async_write(m_socket, asio::buffer(it.data(), n),
                          [self = shared_from_this()](auto ec, std::size_t sent)
                          {
                              self->m_sent += sent;
                              if (ec)
                              {
                                  self->close();
                                  return;
                              }
                              self->send_again();
                          });
    }

    void send_again()
    {
        m_timer.expires_after(m_script->pause);
        m_timer.async_wait(
            [self = shared_from_this()](auto ec)
            {
                if (!ec && !self->m_closed)
                {
                    self->send(self->m_script->again);
                }
            });
    }

    void read()
    {
        m_socket.async_read_some(
            asio::buffer(m_buf),
            [self = shared_from_this()](auto ec, std::size_t n)
            {
                if (ec)
                {
                    self->close();
                    return;
                }
                constexpr std::size_t kept = 64;
                if (self->m_received.size() < kept)
                {
                    self->m_received.append(self->m_buf.data(), n);
                }
                self->read();
            });
    }

    tcp::socket m_socket;
    asio::steady_timer m_timer;
    std::shared_ptr<script const> m_script;
    std::array<char, 4'096> m_buf{};
    std::string m_received;
    std::size_t m_sent{0};
    bool m_sent_all{false};
    bool m_closed{false};
};

crowd::crowd(asio::io_context& loop, script what)
    : m_loop{loop}
    , m_script{std::make_shared<script const>(std::move(what))}
{
}

crowd::~crowd()
{
    for (auto const& it : m_clients)
    {
        it->close();
    }
}

void crowd::join(std::uint16_t port, std::size_t clients)
{
    for (std::size_t n = 0; n < clients; ++n)
    {
        m_clients.push_back(std::make_shared<client>(m_loop, m_script));
        m_clients.back()->connect(port);
    }
}

bool crowd::done() const
{
    return std::ranges::all_of(m_clients,
                               [](auto const& it) { return it->done(); });
}

std::size_t crowd::closed() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_clients, [](auto const& it) { return it->closed(); }));
}

std::size_t crowd::answered() const
{
    return statuses().size();
}

std::vector<unsigned> crowd::statuses() const
{
    std::vector<unsigned> out;
    for (auto const& it : m_clients)
    {
        if (auto const status = it->status(); status != 0)
        {
            out.push_back(status);
        }
    }
    return out;
}

} // namespace berylhill::clients_test
