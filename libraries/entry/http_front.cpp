#include <entry/http_front.hpp>

#include <base/time.hpp>
#include <calls/call_outcome.hpp>
#include <entry/http_problem.hpp>

#include <boost/asio/post.hpp>

#include <chrono>
#include <utility>

namespace berylhill::entry
{

namespace
{

constexpr auto s_stop_poll = std::chrono::milliseconds{20};

/// Requests that wait for a thread, for each thread; more are refused at once.
constexpr std::size_t s_waiting_per_thread = 16;

/// Connections hold at most one part in this many of the memory.
constexpr std::int64_t s_memory_share = 4;
constexpr std::int64_t s_bytes_per_mb = 1'048'576;

/// Seconds after which a caller is to come back.
constexpr double s_retry_after_s = 1;

network::server_limits server_limits_of(settings::limit_settings const& it)
{
    network::server_limits out;
    out.body_bytes = static_cast<std::size_t>(it.body_bytes);
    out.request_time = base::from_seconds(it.request_read_s);
    out.connections = static_cast<std::size_t>(it.connections);
    return out;
}

calls::refusal_code code_of(network::refused_request it)
{
    return it == network::refused_request::busy
               ? calls::refusal_code::overloaded
               : calls::refusal_code::malformed;
}

char const* text_of(network::refused_request it)
{
    switch (it)
    {
    case network::refused_request::malformed:
        return "the request is not HTTP/1.1";
    case network::refused_request::too_slow:
        return "the request did not arrive whole in time";
    case network::refused_request::body_too_large:
        return "the body is too large";
    case network::refused_request::fields_too_large:
        return "the header or the trailer is too large";
    case network::refused_request::busy:
        return "this entry has too many requests";
    }
    return "refused";
}

network::http_response refusal_of(network::refused_request it)
{
    auto const again =
        it == network::refused_request::busy ? s_retry_after_s : 0;
    return problem_response(
        static_cast<unsigned>(it),
        {calls::ran::not_run, code_of(it), text_of(it), again});
}

} // namespace

http_front::http_front(settings::limit_settings const& limits,
                       http_router const& router)
    : m_router{router}
    , m_most_waiting{s_waiting_per_thread *
                     static_cast<std::size_t>(limits.http_threads)}
    , m_server{m_loop,
               [this](auto it, auto answer)
               { handle(std::move(it), std::move(answer)); },
               m_memory}
    , m_threads{static_cast<std::size_t>(limits.http_threads)}
{
    m_memory->set_limit(static_cast<std::size_t>(
        limits.memory_mb * s_bytes_per_mb / s_memory_share));
    m_server.set_limits(server_limits_of(limits));
    m_server.set_refusals(refusal_of);
}

http_front::~http_front()
{
    stop();
}

base::result<base::done> http_front::bind(std::string const& address)
{
    BOOST_LEAF_AUTO(at, network::parse_socket_address(address));
    BOOST_LEAF_CHECK(m_server.listen(at));
    return base::done{};
}

void http_front::start()
{
    m_reader = std::thread{[this]
                           {
                               m_loop.run();
                           }};
}

void http_front::stop()
{
    if (!m_reader.joinable())
    {
        return;
    }
    boost::asio::post(m_loop, [this] { begin_stop(); });
    m_reader.join();
}

void http_front::handle(network::http_request it, network::responder answer)
{
    if (m_router.answers_at_once(it))
    {
        answer(m_router.answer(it));
        return;
    }
    if (m_handling >= m_most_waiting)
    {
        answer(refusal_of(network::refused_request::busy));
        return;
    }
    ++m_handling;
    m_threads.post(
        [this, it = std::move(it), answer = std::move(answer)]() mutable
        {
            auto out = m_router.answer(it);
            // The connection belongs to the thread of the loop: nothing of it
            // stays here.
            boost::asio::post(
                m_loop,
                [this, out = std::move(out), last = std::move(answer)]() mutable
                {
                    --m_handling;
                    last(std::move(out));
                });
        });
}

void http_front::begin_stop()
{
    m_server.stop_listening();
    m_server.set_closing();
    watch_stop();
}

void http_front::watch_stop()
{
    if (m_server.unanswered() == 0)
    {
        m_server.close_connections();
        m_loop.stop();
        return;
    }
    m_stop_timer.expires_after(s_stop_poll);
    m_stop_timer.async_wait([this](auto) { watch_stop(); });
}

} // namespace berylhill::entry
