#include <rpc/server.hpp>

#include <rpc/failure_codec.hpp>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>

namespace berylhill::rpc
{

namespace
{

/// A caller closes what it does not use long before; this is for callers that
/// vanished without a word.
constexpr base::duration s_idle_limit = std::chrono::minutes{2};
/// From the first byte of a request to its last.
constexpr base::duration s_read_limit = std::chrono::seconds{10};
constexpr base::duration s_write_limit = std::chrono::seconds{5};
constexpr int s_accept_poll_ms = 50;

} // namespace

server::~server()
{
    stop();
}

void server::add(std::string const& name, method run)
{
    m_protocol.add(name,
                   [run = std::move(run)](Json::Value const& parameters,
                                          Json::Value& result)
                   {
                       auto const it =
                           base::capture([&] { return run(parameters); });
                       if (!it)
                       {
                           return to_error(it.error());
                       }
                       result = it.value();
                       return rpc_error{};
                   });
}

base::result<std::string> server::start(std::string const& address)
{
    BOOST_LEAF_ASSIGN(m_listener, listen_at(address));
    m_acceptor = std::jthread{[this](std::stop_token const& stop)
                              {
                                  accept_loop(stop);
                              }};
    return bound_address(m_listener);
}

void server::stop()
{
    if (m_listener < 0)
    {
        return;
    }
    m_acceptor.request_stop();
    m_acceptor.join();
    ::close(m_listener);
    m_listener = -1;
    {
        std::lock_guard const lock{m_mutex};
        m_stopping = true;
        for (auto const& it : m_connections)
        {
            it.socket.shut_down();
        }
    }
    for (auto& it : m_connections)
    {
        it.thread.join();
    }
    m_connections.clear();
}

void server::accept_loop(std::stop_token const& stop)
{
    while (!stop.stop_requested())
    {
        pollfd it{m_listener, POLLIN, 0};
        if (::poll(&it, 1, s_accept_poll_ms) <= 0)
        {
            continue;
        }
        auto const descriptor =
            ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0)
        {
            continue;
        }
        reap_finished();
        std::lock_guard const lock{m_mutex};
        if (!make_room())
        {
            ::close(descriptor);
            continue;
        }
        auto& added = m_connections.emplace_back(descriptor);
        added.idle_since = m_clock.now();
        added.thread = std::jthread{[this, &added]
                                    {
                                        serve(added);
                                    }};
    }
}

/// Returns whether one more connection may be served, and closes an idle one
/// for it if need be. Precondition: the mutex is held.
bool server::make_room()
{
    std::size_t open = 0;
    connection* longest_idle = nullptr;
    for (auto& it : m_connections)
    {
        if (it.finished || it.gives_way)
        {
            continue;
        }
        ++open;
        if (it.idle_since && (longest_idle == nullptr ||
                              *it.idle_since < *longest_idle->idle_since))
        {
            longest_idle = &it;
        }
    }
    if (open < m_limits.connections)
    {
        return true;
    }
    if (longest_idle == nullptr)
    {
        return false;
    }
    longest_idle->gives_way = true;
    longest_idle->socket.shut_down();
    return true;
}

void server::set_idle(connection& it, std::optional<base::instant> since)
{
    std::lock_guard const lock{m_mutex};
    it.idle_since = since;
}

void server::serve(connection& it)
{
    for (;;)
    {
        frame_share share{m_request_bytes};
        auto const request = base::capture(
            [&] {
                return it.socket.read_request(s_idle_limit, s_read_limit,
                                              share);
            });
        if (!request)
        {
            break;
        }
        set_idle(it, std::nullopt);
        // The library throws for a request nested too deep, and an exception
        // that leaves a thread ends the process.
        auto const response =
            base::capture([&]() -> base::result<std::string>
                          { return m_protocol.handle(request.value()); });
        if (!response)
        {
            break;
        }
        auto const written = base::capture(
            [&] { return it.socket.write(response.value(), s_write_limit); });
        if (!written)
        {
            break;
        }
        set_idle(it, m_clock.now());
    }
    std::lock_guard const lock{m_mutex};
    it.socket.shut_down();
    it.finished = true;
}

void server::reap_finished()
{
    std::list<connection> finished;
    std::lock_guard const lock{m_mutex};
    for (auto it = m_connections.begin(); it != m_connections.end();)
    {
        auto const next = std::next(it);
        if (it->finished)
        {
            finished.splice(finished.end(), m_connections, it);
        }
        it = next;
    }
    // A finished thread has nothing left to do, so joining it under the lock
    // does not wait.
}

} // namespace berylhill::rpc
