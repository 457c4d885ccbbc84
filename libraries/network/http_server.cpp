#include <network/http_server.hpp>

#include <base/log.hpp>
#include <network/http_server_session.hpp>

namespace berylhill::network
{

namespace asio = boost::asio;
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

std::optional<http_response> plain_refusal(refused_request it)
{
    auto const status = static_cast<unsigned>(it);
    switch (it)
    {
    case refused_request::too_slow:
        return std::nullopt;
    case refused_request::busy:
        return http_response{
            status, {{"Retry-After", "1"}}, R"({"error":"not accepted"})"};
    case refused_request::malformed:
    case refused_request::body_too_large:
    case refused_request::fields_too_large:
        return http_response{status, {}, R"({"error":"malformed request"})"};
    }
    return std::nullopt;
}

http_server::http_server(asio::io_context& loop,
                         request_handler handler,
                         std::shared_ptr<connection_memory> memory)
    : m_loop{loop}
    , m_acceptor{loop}
    , m_handler{std::move(handler)}
    , m_memory{std::move(memory)}
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
        if (m_without_request.empty())
        {
            ++m_counts.closed_for_new;
            return;
        }
        m_without_request.front()->close_for_new();
    }
    auto const it = std::make_shared<session>(*this, std::move(socket));
    m_sessions.insert(it);
    it->begin();
}

} // namespace berylhill::network
