#include <network/http_client_exchange.hpp>

#include <network/beast_fields.hpp>
#include <network/http_client_connection.hpp>
#include <network/socket_options.hpp>

#include <algorithm>

namespace berylhill::network
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace
{

/// A body up to this size comes in with few reads as it is.
constexpr std::uint64_t small_body = 2'048;

/// What one read of a large body brings at most, and what a connection that
/// has had one keeps as its buffer.
constexpr std::uint64_t largest_read = std::uint64_t{64} * 1024;

} // namespace

http_client::exchange::exchange(http_client& owner,
                                socket_address to,
                                connection_choice const& choice,
                                http_request const& request,
                                call_handler handler)
    : m_owner{owner}
    , m_to{std::move(to)}
    , m_choice{choice}
    , m_timer{owner.m_loop}
    , m_handler{std::move(handler)}
{
    fill(request);
}

void http_client::exchange::start(call_patience const& patience)
{
    m_stall = patience.stall;
    if (patience.on_new_connection)
    {
        m_owner.forget(m_to);
    }
    wait(patience.begin);
    m_owner.begin(shared_from_this());
}

bool http_client::exchange::begun() const
{
    return m_parser && m_parser->is_header_done();
}

void http_client::exchange::break_off()
{
    if (!m_finished)
    {
        m_handler = nullptr;
        finish({});
    }
}

socket_address const& http_client::exchange::to() const noexcept
{
    return m_to;
}

bool http_client::exchange::finished() const noexcept
{
    return m_finished;
}

void http_client::exchange::connect()
{
    m_running = true;
    pool_key const from{m_to, m_choice.reserved};
    m_connection = m_choice.only == 0 ? m_owner.take(from)
                                      : m_owner.take_only(from, m_choice.only);
    if (m_connection)
    {
        m_reused = true;
        send();
        return;
    }
    if (m_choice.only == 0)
    {
        open();
        return;
    }
    asio::post(m_owner.m_loop,
               [self = shared_from_this()] {
                   self->finish({call_end::not_sent, {}});
               });
}

void http_client::exchange::wait(base::duration limit)
{
    m_timer.expires_after(limit);
    m_timer.async_wait(
        [self = shared_from_this()](auto ec)
        {
            if (!ec)
            {
                self->time_out();
            }
        });
}

void http_client::exchange::fill(http_request const& from)
{
    m_request.version(11);
    m_request.method(verb_of(from.method));
    m_request.target(from.target);
    m_request.set(http::field::host, text_of(m_to));
    for (auto const& it : from.fields)
    {
        m_request.set(it.name, it.value);
    }
    if (!from.content_type.empty())
    {
        m_request.set(http::field::content_type, from.content_type);
    }
    m_request.body() = from.body;
    m_request.prepare_payload();
}

void http_client::exchange::open()
{
    m_reused = false;
    m_connection = std::make_unique<connection>(
        m_owner.m_loop, ++m_owner.m_opened, m_owner.m_open);
    m_owner.close_idle();
    boost::system::error_code ec;
    auto const address = asio::ip::make_address_v4(m_to.host, ec);
    if (ec)
    {
        asio::post(m_owner.m_loop,
                   [self = shared_from_this()] {
                       self->finish({call_end::not_sent, {}, false});
                   });
        return;
    }
    m_connection->socket.async_connect(tcp::endpoint{address, m_to.port},
                                       [self = shared_from_this()](auto failed)
                                       { self->opened(failed); });
}

void http_client::exchange::opened(boost::system::error_code ec)
{
    if (m_finished)
    {
        return;
    }
    if (ec)
    {
        // On a connection that broke the request may have arrived before.
        finish({m_sent ? call_end::unanswered : call_end::not_sent,
                {},
                ec == asio::error::connection_refused});
        return;
    }
    set_call_options(m_connection->socket);
    send();
}

void http_client::exchange::send()
{
    m_sent = true;
    http::async_write(m_connection->socket, m_request,
                      [self = shared_from_this()](auto ec, std::size_t)
                      { self->written(ec); });
}

void http_client::exchange::written(boost::system::error_code ec)
{
    if (!goes_on(ec))
    {
        return;
    }
    m_parser.emplace();
    m_parser->header_limit(
        static_cast<std::uint32_t>(m_owner.m_limits.header_bytes));
    m_parser->body_limit(m_owner.m_limits.body_bytes);
    http::async_read_header(
        m_connection->socket, m_connection->buf, *m_parser,
        [self = shared_from_this()](auto failed, std::size_t)
        { self->header_read(failed); });
}

void http_client::exchange::header_read(boost::system::error_code ec)
{
    if (!goes_on(ec))
    {
        return;
    }
    auto const length = m_parser->content_length();
    if (length && *length > small_body)
    {
        m_connection->buf.reserve(static_cast<std::size_t>(
            std::min<std::uint64_t>(*length, largest_read)));
    }
    m_parser->eager(true);
    read_on();
}

void http_client::exchange::read_on()
{
    if (m_parser->is_done())
    {
        read({});
        return;
    }
    if (m_stall.count() == 0)
    {
        http::async_read(m_connection->socket, m_connection->buf, *m_parser,
                         [self = shared_from_this()](auto failed, std::size_t)
                         { self->read(failed); });
        return;
    }
    wait(m_stall);
    http::async_read_some(m_connection->socket, m_connection->buf, *m_parser,
                          [self = shared_from_this()](auto failed, std::size_t)
                          { self->piece_read(failed); });
}

void http_client::exchange::piece_read(boost::system::error_code ec)
{
    if (!goes_on(ec))
    {
        return;
    }
    read_on();
}

void http_client::exchange::read(boost::system::error_code ec)
{
    if (!goes_on(ec))
    {
        return;
    }
    auto const keep = m_parser->get().keep_alive();
    auto answer = response_of(m_parser->release());
    call_result out{call_end::answered, std::move(answer)};
    if (keep)
    {
        out.connection = m_connection->number;
        m_owner.give_back({m_to, m_choice.reserved}, std::move(m_connection));
    }
    finish(std::move(out));
}

bool http_client::exchange::goes_on(boost::system::error_code ec)
{
    if (m_finished)
    {
        return false;
    }
    if (ec)
    {
        broken();
        return false;
    }
    return true;
}

void http_client::exchange::broken()
{
    auto const nothing_read = !m_parser || !m_parser->got_some();
    if (m_reused && nothing_read && m_choice.only == 0)
    {
        m_sent_before = true;
        m_parser.reset();
        m_owner.forget(m_to);
        open();
        return;
    }
    finish({call_end::unanswered, {}, false});
}

void http_client::exchange::time_out()
{
    m_owner.forget(m_to);
    finish({m_sent ? call_end::unanswered : call_end::not_sent, {}, false});
}

std::uint64_t http_client::exchange::received() const
{
    if (!begun())
    {
        return 0;
    }
    auto const length = m_parser->content_length();
    auto const left = m_parser->content_length_remaining();
    return length && left ? *length - *left : 0;
}

void http_client::exchange::finish(call_result result)
{
    if (m_finished)
    {
        return;
    }
    m_finished = true;
    result.sent_before = m_sent_before;
    if (result.end == call_end::unanswered)
    {
        result.received = received();
    }
    m_timer.cancel();
    if (m_connection)
    {
        boost::system::error_code ec;
        m_connection->socket.close(ec);
    }
    auto const handler = std::move(m_handler);
    m_handler = nullptr;
    if (m_running)
    {
        m_owner.ended(m_to);
    }
    if (handler)
    {
        handler(result);
    }
}

} // namespace berylhill::network
