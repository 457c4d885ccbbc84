#include <network/http_server_session.hpp>

#include <network/beast_fields.hpp>
#include <network/socket_options.hpp>

#include <algorithm>
#include <utility>

namespace berylhill::network
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace
{

/// What a connection takes without a request: itself, its socket and timer.
constexpr std::size_t connection_bytes = 4'096;

/// What is read at a time of a request whose size is not known, and of a body.
constexpr std::size_t small_read = 1'024;
constexpr std::size_t large_read = 16'384;

/// A buffer keeps so much while no request is being read.
constexpr std::size_t kept_buffer = 2'048;

/// An answer of up to so many bytes is sent whatever others hold. The
/// connection is closed in place of a larger one: nothing else would be true of
/// a request that was carried out.
constexpr std::size_t small_answer = 16'384;

/// What answering a request takes, as a multiple of what was read of it: it is
/// decoded, and sent on to another process.
constexpr std::size_t answering_factor = 4;

refused_request reason_of(boost::system::error_code ec)
{
    if (ec == http::error::body_limit)
    {
        return refused_request::body_too_large;
    }
    return ec == http::error::header_limit ? refused_request::fields_too_large
                                           : refused_request::malformed;
}

} // namespace

http_server::session::session(http_server& owner, tcp::socket socket)
    : m_owner{owner}
    , m_memory{owner.m_memory}
    , m_socket{std::move(socket)}
    , m_timer{owner.m_loop}
    , m_buf{owner.m_limits.header_bytes + small_read}
{
    set_call_options(m_socket);
}

http_server::session::~session()
{
    m_memory->release(*this);
}

void http_server::session::begin()
{
    m_waiting =
        m_owner.m_without_request.insert(m_owner.m_without_request.end(), this);
    if (m_buf.size() > 0)
    {
        read_first();
        return;
    }
    if (m_buf.capacity() > kept_buffer)
    {
        m_buf.shrink_to_fit();
    }
    m_memory->set_reading(*this, connection_bytes + m_buf.capacity());
    if (m_closed)
    {
        return;
    }
    wait(m_owner.m_limits.idle_time, &session::close);
    m_socket.async_wait(tcp::socket::wait_read,
                        [self = shared_from_this()](auto ec)
                        {
                            if (ec || self->m_closed)
                            {
                                self->close();
                                return;
                            }
                            self->read_first();
                        });
}

void http_server::session::close()
{
    if (m_closed)
    {
        return;
    }
    m_closed = true;
    stop_waiting();
    m_timer.cancel();
    boost::system::error_code ec;
    m_socket.shutdown(tcp::socket::shutdown_both, ec);
    m_socket.close(ec);
    m_owner.m_sessions.erase(shared_from_this());
}

void http_server::session::close_for_new()
{
    ++m_owner.m_counts.closed_for_new;
    close();
}

/// Frees what was read at once: pending operations keep the object alive for
/// another turn of the loop.
void http_server::session::give_way()
{
    ++m_owner.m_counts.closed_for_memory;
    m_parser.reset();
    close();
}

void http_server::session::read_first()
{
    m_parser.emplace(m_owner.m_limits);
    wait(m_owner.m_limits.request_time, &session::time_out);
    bytes_read({}, 0);
}

void http_server::session::read()
{
    auto const n = next_read();
    if (n == 0)
    {
        refuse(refused_request::fields_too_large);
        return;
    }
    m_socket.async_read_some(
        m_buf.prepare(n), [self = shared_from_this()](auto ec, std::size_t got)
        { self->bytes_read(ec, got); });
}

/// Bytes that the parser leaves in the buffer belong to a part that has to
/// come whole: a line, a field, the size of a chunk.
std::size_t http_server::session::next_read() const
{
    auto const room = m_buf.max_size() - m_buf.size();
    auto const left = m_parser->is_header_done()
                          ? m_parser->content_length_remaining()
                          : boost::none;
    auto const wanted =
        left ? std::clamp<std::uint64_t>(*left, small_read, large_read)
             : std::max(small_read, m_buf.capacity() - m_buf.size());
    return std::min<std::size_t>(
        {static_cast<std::size_t>(wanted), large_read, room});
}

void http_server::session::bytes_read(boost::system::error_code ec,
                                      std::size_t n)
{
    if (m_closed || !m_parser)
    {
        return;
    }
    if (ec)
    {
        close();
        return;
    }
    m_buf.commit(n);
    if (auto const failed = parse(); failed)
    {
        refuse(reason_of(failed));
        return;
    }
    if (m_parser->is_done())
    {
        request_read();
        return;
    }
    m_memory->set_reading(*this, held_by_request());
    if (!m_closed)
    {
        read();
    }
}

boost::system::error_code http_server::session::parse()
{
    while (m_buf.size() > 0 && !m_parser->is_done())
    {
        boost::system::error_code ec;
        auto const used = m_parser->put(m_buf.data(), ec);
        m_buf.consume(used);
        if (ec == http::error::need_more)
        {
            return {};
        }
        if (ec)
        {
            return ec;
        }
    }
    return {};
}

std::size_t http_server::session::held_by_request() const
{
    return connection_bytes + m_buf.capacity() + m_parser->held();
}

void http_server::session::refuse(refused_request why)
{
    if (why == refused_request::body_too_large ||
        why == refused_request::fields_too_large)
    {
        ++m_owner.m_counts.too_large;
    }
    stop_waiting();
    m_parser.reset();
    // The next byte of a request that was not read whole means nothing.
    m_close_after = m_close_after || why != refused_request::busy;
    auto answer = m_owner.m_refusals(why);
    if (!answer)
    {
        close();
        return;
    }
    ++m_owner.m_unanswered;
    write(std::move(*answer));
}

void http_server::session::request_read()
{
    stop_waiting();
    m_timer.cancel();
    m_close_after = !m_parser->get().keep_alive();
    auto const bytes = answering_factor * m_parser->held();
    auto request = request_of(m_parser->release());
    m_parser.reset();
    if (!m_memory->set_answering(*this,
                                 connection_bytes + m_buf.capacity() + bytes))
    {
        ++m_owner.m_counts.busy;
        refuse(refused_request::busy);
        return;
    }
    ++m_owner.m_unanswered;
    m_owner.m_handler(std::move(request),
                      [self = shared_from_this()](http_response it)
                      { self->write(std::move(it)); });
}

void http_server::session::write(http_response it)
{
    --m_owner.m_unanswered;
    if (m_closed)
    {
        return;
    }
    if (!m_memory->set_answering(*this, connection_bytes + m_buf.capacity() +
                                            it.body.size()) &&
        it.body.size() > small_answer)
    {
        ++m_owner.m_counts.closed_for_memory;
        close();
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
    wait(m_owner.m_limits.request_time, &session::close);
    http::async_write(m_socket, m_response,
                      [self = shared_from_this()](auto ec, std::size_t)
                      { self->written(ec); });
}

void http_server::session::written(boost::system::error_code ec)
{
    m_response = {};
    if (ec || m_close_after)
    {
        close();
        return;
    }
    begin();
}

/// A caller that sends or reads nothing would hold the connection for ever.
void http_server::session::wait(base::duration limit,
                                void (session::*when_over)())
{
    m_timer.expires_after(limit);
    m_timer.async_wait(
        [self = shared_from_this(), when_over](auto ec)
        {
            if (!ec)
            {
                (*self.*when_over)();
            }
        });
}

void http_server::session::time_out()
{
    // The last byte may have come in the turn in which the time was over.
    if (m_closed || !m_parser)
    {
        return;
    }
    ++m_owner.m_counts.too_slow;
    refuse(refused_request::too_slow);
}

void http_server::session::stop_waiting()
{
    if (m_waiting)
    {
        m_owner.m_without_request.erase(*m_waiting);
        m_waiting.reset();
    }
}

} // namespace berylhill::network
