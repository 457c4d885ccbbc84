#include <network/http_server.hpp>

#include <base/log.hpp>
#include <network/beast_fields.hpp>
#include <network/socket_options.hpp>

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace berylhill::network
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace
{

/// The queue of connections that the kernel has accepted for us.
constexpr int listen_backlog = 1'024;

/// Pause after a failed accept, for example without free descriptors; a loop
/// without it spins.
constexpr auto accept_pause = std::chrono::milliseconds{100};

/// Connections taken at once, beside the one that was waited for: enough for
/// hundreds in a few turns, and requests of others wait for so many at most.
constexpr std::size_t most_accepted = 64;

} // namespace

class http_server::session : public std::enable_shared_from_this<session>
{
public:
    session(http_server& owner, tcp::socket socket)
        : m_owner{owner}
        , m_socket{std::move(socket)}
        , m_timer{owner.m_loop}
    {
        set_call_options(m_socket);
    }

    void read()
    {
        m_parser.emplace();
        m_parser->header_limit(
            static_cast<std::uint32_t>(m_owner.m_limits.header_bytes));
        m_parser->body_limit(m_owner.m_limits.body_bytes);
        if (m_buf.size() > 0)
        {
            read_header();
            return;
        }
        wait(m_owner.m_limits.idle_time);
        m_socket.async_wait(tcp::socket::wait_read,
                            [self = shared_from_this()](auto ec)
                            {
                                if (ec || self->m_closed)
                                {
                                    self->close();
                                    return;
                                }
                                self->read_header();
                            });
    }

    void close()
    {
        if (m_closed)
        {
            return;
        }
        m_closed = true;
        m_timer.cancel();
        boost::system::error_code ec;
        m_socket.shutdown(tcp::socket::shutdown_both, ec);
        m_socket.close(ec);
        m_owner.m_sessions.erase(shared_from_this());
    }

private:
    void read_header()
    {
        wait(m_owner.m_limits.request_time);
        http::async_read_header(
            m_socket, m_buf, *m_parser,
            [self = shared_from_this()](auto ec, std::size_t)
            { self->header_read(ec); });
    }

    void header_read(boost::system::error_code ec)
    {
        if (ec)
        {
            refuse(ec);
            return;
        }
        http::async_read(m_socket, m_buf, *m_parser,
                         [self = shared_from_this()](auto failed, std::size_t)
                         { self->request_read(failed); });
    }

    /// A request that cannot be read is answered where the caller can know
    /// why; the connection ends, since its next byte means nothing.
    void refuse(boost::system::error_code ec)
    {
        if (m_closed)
        {
            return;
        }
        auto status = 400U;
        auto const malformed =
            ec.category() ==
                http::make_error_code(http::error::end_of_stream).category() &&
            ec != http::error::end_of_stream &&
            ec != http::error::partial_message;
        if (!malformed)
        {
            close();
            return;
        }
        if (ec == http::error::body_limit)
        {
            status = 413;
        }
        if (ec == http::error::header_limit)
        {
            status = 431;
        }
        m_close_after = true;
        ++m_owner.m_unanswered;
        write({status, {}, R"({"error":"malformed request"})"});
    }

    void request_read(boost::system::error_code ec)
    {
        if (ec)
        {
            refuse(ec);
            return;
        }
        if (m_closed)
        {
            return;
        }
        m_timer.cancel();
        m_close_after = !m_parser->get().keep_alive();
        ++m_owner.m_unanswered;
        m_owner.m_handler(request_of(m_parser->release()),
                          [self = shared_from_this()](http_response it)
                          { self->write(std::move(it)); });
    }

    void write(http_response it)
    {
        --m_owner.m_unanswered;
        if (m_closed)
        {
            return;
        }
        m_close_after = m_close_after || m_owner.m_closing;
        m_response = {};
        m_response.version(11);
        m_response.result(it.status);
        for (auto const& field : it.fields)
        {
            m_response.set(field.name, field.value);
        }
        if (!it.body.empty())
        {
            m_response.set(http::field::content_type, it.content_type);
        }
        m_response.keep_alive(!m_close_after);
        m_response.body() = std::move(it.body);
        m_response.prepare_payload();
        wait(m_owner.m_limits.request_time);
        http::async_write(m_socket, m_response,
                          [self = shared_from_this()](auto ec, std::size_t)
                          { self->written(ec); });
    }

    void written(boost::system::error_code ec)
    {
        if (ec || m_close_after)
        {
            close();
            return;
        }
        read();
    }

    /// A caller that sends or reads nothing would hold the connection for
    /// ever.
    void wait(base::duration limit)
    {
        m_timer.expires_after(limit);
        m_timer.async_wait(
            [self = shared_from_this()](auto ec)
            {
                if (!ec)
                {
                    self->close();
                }
            });
    }

    http_server& m_owner;
    tcp::socket m_socket;
    asio::steady_timer m_timer;
    boost::beast::flat_buffer m_buf;
    std::optional<http::request_parser<http::string_body>> m_parser;
    http::response<http::string_body> m_response;
    bool m_close_after{false};
    bool m_closed{false};
};

http_server::http_server(asio::io_context& loop, request_handler handler)
    : m_loop{loop}
    , m_acceptor{loop}
    , m_handler{std::move(handler)}
{
}

http_server::~http_server() = default;

base::result<void> http_server::listen(socket_address const& at)
{
    boost::system::error_code ec;
    auto const address = asio::ip::make_address_v4(at.host, ec);
    auto const endpoint = tcp::endpoint{address, at.port};
    if (!ec)
    {
        m_acceptor.open(endpoint.protocol(), ec);
    }
    if (!ec)
    {
        m_acceptor.set_option(tcp::acceptor::reuse_address{true}, ec);
    }
    if (!ec)
    {
        m_acceptor.bind(endpoint, ec);
    }
    if (!ec)
    {
        m_acceptor.listen(listen_backlog, ec);
    }
    if (!ec)
    {
        m_acceptor.non_blocking(true, ec);
    }
    if (ec)
    {
        return base::fail(base::failure_code::unavailable,
                          "cannot listen on " + text_of(at) + ": " +
                              ec.message());
    }
    accept();
    return {};
}

void http_server::set_closing()
{
    m_closing = true;
}

void http_server::stop_listening()
{
    boost::system::error_code ec;
    m_acceptor.close(ec);
}

void http_server::close_connections()
{
    auto const all = m_sessions;
    for (auto const& it : all)
    {
        it->close();
    }
}

void http_server::accept()
{
    m_acceptor.async_accept(
        [this](auto ec, tcp::socket socket)
        {
            if (ec == asio::error::operation_aborted)
            {
                return;
            }
            if (ec)
            {
                base::log(base::log_level::warning, "accept_failed",
                          {{"error", ec.message()}});
                auto const timer = std::make_shared<asio::steady_timer>(m_loop);
                timer->expires_after(accept_pause);
                timer->async_wait([this, timer](auto) { accept(); });
                return;
            }
            serve(std::move(socket));
            accept_more();
            accept();
        });
}

/// Takes those that wait already: one at a time behind all that is due, a
/// busy process took seconds to answer hundreds that had lost their server and
/// came to it at once.
void http_server::accept_more()
{
    for (std::size_t n = 0; n < most_accepted; ++n)
    {
        boost::system::error_code ec;
        tcp::socket socket{m_loop};
        m_acceptor.accept(socket, ec);
        if (ec)
        {
            // Nothing waits, or the next asynchronous one says what fails.
            return;
        }
        serve(std::move(socket));
    }
}

void http_server::serve(tcp::socket socket)
{
    if (m_sessions.size() >= m_limits.connections)
    {
        return;
    }
    auto const it = std::make_shared<session>(*this, std::move(socket));
    m_sessions.insert(it);
    it->read();
}

} // namespace berylhill::network
