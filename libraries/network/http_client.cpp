#include <network/http_client.hpp>

#include <network/beast_fields.hpp>
#include <network/socket_options.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

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

class http_client::connection
{
public:
    connection(asio::io_context& loop, std::shared_ptr<std::size_t> open)
        : socket{loop}
        , m_open{std::move(open)}
    {
        ++*m_open;
    }

    connection(connection const&) = delete;
    connection& operator=(connection const&) = delete;

    ~connection()
    {
        --*m_open;
    }

    tcp::socket socket;
    boost::beast::flat_buffer buf;
    /// Its place among the idle ones, while it is one.
    std::list<socket_address>::const_iterator idle_at;

private:
    std::shared_ptr<std::size_t> m_open;
};

/// One call: takes or opens a connection, sends, reads, and reports once.
class http_client::exchange final
    : public call_under_way,
      public std::enable_shared_from_this<exchange>
{
public:
    exchange(http_client& owner,
             socket_address to,
             http_request const& request,
             call_handler handler)
        : m_owner{owner}
        , m_to{std::move(to)}
        , m_timer{owner.m_loop}
        , m_handler{std::move(handler)}
    {
        fill(request);
    }

    void start(call_patience const& patience)
    {
        m_stall = patience.stall;
        if (patience.on_new_connection)
        {
            m_owner.forget(m_to);
        }
        wait(patience.begin);
        m_owner.begin(shared_from_this());
    }

    [[nodiscard]] bool begun() const override
    {
        return m_parser && m_parser->is_header_done();
    }

    void break_off() override
    {
        if (!m_finished)
        {
            m_handler = nullptr;
            finish({});
        }
    }

    [[nodiscard]] socket_address const& to() const noexcept
    {
        return m_to;
    }

    [[nodiscard]] bool finished() const noexcept
    {
        return m_finished;
    }

    void connect()
    {
        m_running = true;
        m_connection = m_owner.take(m_to);
        if (m_connection)
        {
            m_reused = true;
            send();
            return;
        }
        open();
    }

private:
    void wait(base::duration limit)
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

    void fill(http_request const& from)
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

    void open()
    {
        m_reused = false;
        m_connection =
            std::make_unique<connection>(m_owner.m_loop, m_owner.m_open);
        ++m_owner.m_opened;
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
        m_connection->socket.async_connect(
            tcp::endpoint{address, m_to.port},
            [self = shared_from_this()](auto failed) { self->opened(failed); });
    }

    void opened(boost::system::error_code ec)
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

    void send()
    {
        m_sent = true;
        http::async_write(m_connection->socket, m_request,
                          [self = shared_from_this()](auto ec, std::size_t)
                          { self->written(ec); });
    }

    void written(boost::system::error_code ec)
    {
        if (m_finished)
        {
            return;
        }
        if (ec)
        {
            broken();
            return;
        }
        m_parser.emplace();
        m_parser->body_limit(m_owner.m_limits.body_bytes);
        http::async_read_header(
            m_connection->socket, m_connection->buf, *m_parser,
            [self = shared_from_this()](auto failed, std::size_t)
            { self->header_read(failed); });
    }

    /// Room is made for a large body before it is read. Beast reads no more
    /// at a time than the buffer has room for, half a kilobyte at first: a
    /// page of a log took hundreds of turns of the event loop, and missed its
    /// deadline each time where the loop was busy.
    void header_read(boost::system::error_code ec)
    {
        if (m_finished)
        {
            return;
        }
        if (ec)
        {
            broken();
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

    void read_on()
    {
        if (m_stall.count() == 0 || m_parser->is_done())
        {
            http::async_read(
                m_connection->socket, m_connection->buf, *m_parser,
                [self = shared_from_this()](auto failed, std::size_t)
                { self->read(failed); });
            return;
        }
        wait(m_stall);
        http::async_read_some(
            m_connection->socket, m_connection->buf, *m_parser,
            [self = shared_from_this()](auto failed, std::size_t)
            { self->piece_read(failed); });
    }

    void piece_read(boost::system::error_code ec)
    {
        if (m_finished)
        {
            return;
        }
        if (ec)
        {
            broken();
            return;
        }
        read_on();
    }

    void read(boost::system::error_code ec)
    {
        if (m_finished)
        {
            return;
        }
        if (ec)
        {
            broken();
            return;
        }
        auto const keep = m_parser->get().keep_alive();
        auto answer = response_of(m_parser->release());
        if (keep)
        {
            m_owner.give_back(m_to, std::move(m_connection));
        }
        finish({call_end::answered, std::move(answer), false});
    }

    /// An idle connection that the other side had closed breaks on its first
    /// use; the request then goes out once more on a new one.
    void broken()
    {
        auto const nothing_read = !m_parser || !m_parser->got_some();
        if (m_reused && nothing_read)
        {
            m_parser.reset();
            m_owner.forget(m_to);
            open();
            return;
        }
        finish({call_end::unanswered, {}, false});
    }

    /// The other connections to the address went the same way, so they are
    /// not trusted either: a silent link answers on none of them.
    void time_out()
    {
        m_owner.forget(m_to);
        finish({m_sent ? call_end::unanswered : call_end::not_sent, {}, false});
    }

    [[nodiscard]] std::uint64_t received() const
    {
        if (!begun())
        {
            return 0;
        }
        auto const length = m_parser->content_length();
        auto const left = m_parser->content_length_remaining();
        return length && left ? *length - *left : 0;
    }

    void finish(call_result result)
    {
        if (m_finished)
        {
            return;
        }
        m_finished = true;
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

    http_client& m_owner;
    socket_address m_to;
    asio::steady_timer m_timer;
    base::duration m_stall{0};
    call_handler m_handler;
    http::request<http::string_body> m_request;
    std::optional<http::response_parser<http::string_body>> m_parser;
    std::unique_ptr<connection> m_connection;
    bool m_running{false};
    bool m_reused{false};
    bool m_sent{false};
    bool m_finished{false};
};

http_client::http_client(asio::io_context& loop, client_limits limits)
    : m_loop{loop}
    , m_limits{limits}
{
}

http_client::~http_client() = default;

call_handle http_client::call(socket_address const& to,
                              http_request request,
                              call_patience const& patience,
                              call_handler handler)
{
    auto const made =
        std::make_shared<exchange>(*this, to, request, std::move(handler));
    made->start(patience);
    return made;
}

void http_client::begin(std::shared_ptr<exchange> const& it)
{
    auto& running = m_running[it->to()];
    if (running >= m_limits.in_use_per_address)
    {
        m_waiting[it->to()].push_back(it);
        return;
    }
    ++running;
    it->connect();
}

void http_client::ended(socket_address const& to)
{
    auto const waiting = m_waiting.find(to);
    while (waiting != m_waiting.end() && !waiting->second.empty())
    {
        auto const next = waiting->second.front().lock();
        waiting->second.pop_front();
        if (next && !next->finished())
        {
            next->connect();
            return;
        }
    }
    m_waiting.erase(to);
    if (auto const at = m_running.find(to); --at->second == 0)
    {
        m_running.erase(at);
    }
}

std::unique_ptr<http_client::connection>
http_client::take(socket_address const& to)
{
    auto const it = m_idle.find(to);
    if (it == m_idle.end() || it->second.empty())
    {
        return nullptr;
    }
    auto last = std::move(it->second.back());
    it->second.pop_back();
    forget_idle_of(*last);
    return last;
}

void http_client::give_back(socket_address const& to,
                            std::unique_ptr<connection> it)
{
    auto& idle = m_idle[to];
    if (idle.size() < m_limits.idle_per_address)
    {
        it->idle_at = m_idle_order.insert(m_idle_order.end(), to);
        idle.push_back(std::move(it));
        close_idle();
    }
}

void http_client::forget(socket_address const& to)
{
    auto const known = m_idle.extract(to);
    if (known)
    {
        for (auto const& it : known.mapped())
        {
            forget_idle_of(*it);
        }
    }
}

void http_client::forget_idle_of(connection const& it)
{
    m_idle_order.erase(it.idle_at);
}

/// Of one address the last one used is taken first, so its first is the one
/// that has been idle longest.
void http_client::close_idle()
{
    while (*m_open > m_limits.open_with_idle && !m_idle_order.empty())
    {
        auto const at = m_idle.find(m_idle_order.front());
        m_idle_order.pop_front();
        at->second.erase(at->second.begin());
        if (at->second.empty())
        {
            m_idle.erase(at);
        }
    }
}

} // namespace berylhill::network
