#include <platform/http_pool.hpp>

#include <platform/deadline_guard.hpp>
#include <platform/http_connection.hpp>

#include <algorithm>
#include <cctype>
#include <charconv>

namespace berylhill::platform
{

namespace
{

/// Servers commonly close an idle connection after five seconds; a connection
/// that is about to be closed is not worth the race.
constexpr auto s_longest_idle = std::chrono::seconds{3};
constexpr std::size_t s_most_idle = 64;
/// Less than this cannot be kept by any clock here.
constexpr auto s_least_timeout = std::chrono::milliseconds{1};

std::string lower_case(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char it)
                   { return static_cast<char>(std::tolower(it)); });
    return text;
}

bool surely_not_sent(httplib::Error it)
{
    return it == httplib::Error::Connection ||
           it == httplib::Error::ConnectionTimeout ||
           it == httplib::Error::BindIPAddress;
}

/// Without a declared length, an answer that breaks off looks whole.
bool length_declared(httplib::Response const& it)
{
    return it.has_header("Content-Length") ||
           it.has_header("Transfer-Encoding") || it.status == 204 ||
           it.status == 304;
}

http_reply reply_from(httplib::Response& it)
{
    http_reply reply;
    reply.status = it.status;
    for (auto const& header : it.headers)
    {
        reply.headers.emplace(lower_case(header.first), header.second);
    }
    reply.body = std::move(it.body);
    return reply;
}

base::result<std::pair<std::string, int>> split(std::string const& address)
{
    auto const colon = address.rfind(':');
    int port = 0;
    if (colon != std::string::npos)
    {
        std::from_chars(address.data() + colon + 1,
                        address.data() + address.size(), port);
    }
    if (port <= 0 || port > 65'535)
    {
        return base::fail(base::failure_code::unavailable,
                          "'" + address + "' is not IP:port");
    }
    return std::pair{address.substr(0, colon), port};
}

} // namespace

std::string http_reply::header(std::string const& name) const
{
    auto const it = headers.find(name);
    return it == headers.end() ? std::string{} : it->second;
}

http_pool::http_pool()
    : m_guard{std::make_unique<deadline_guard>()}
{
}

http_pool::~http_pool() = default;

base::result<http_reply> http_pool::send(std::string const& address,
                                         http_request const& request,
                                         base::duration timeout,
                                         connection_choice choice)
{
    auto const start = m_clock.now();
    auto const deadline =
        start + std::max<base::duration>(timeout, s_least_timeout);
    auto connection = take(address, choice);
    if (!connection)
    {
        BOOST_LEAF_AUTO(peer, split(address));
        connection = std::make_unique<http_connection>(peer.first, peer.second,
                                                       *m_guard);
    }
    auto result = connection->send(request, start, deadline);
    if (!result)
    {
        auto const reason = address + ": " + httplib::to_string(result.error());
        if (surely_not_sent(result.error()))
        {
            return base::fail(base::failure_code::unavailable, reason);
        }
        // Something between the two ends may have lost track of all our older
        // connections, which then stay silent while new ones work.
        forget(address);
        return base::fail(base::failure_code::outcome_unknown, reason);
    }
    if (!length_declared(*result))
    {
        return base::fail(base::failure_code::outcome_unknown,
                          address + ": an answer without a length");
    }
    auto reply = reply_from(*result);
    if (lower_case(reply.header("connection")) != "close")
    {
        keep(address, std::move(connection));
    }
    return reply;
}

std::unique_ptr<http_connection> http_pool::take(std::string const& address,
                                                 connection_choice choice)
{
    if (choice == connection_choice::fresh)
    {
        return nullptr;
    }
    // Destroyed outside the lock: closing takes system calls.
    kept stale;
    std::lock_guard const lock{m_mutex};
    auto& idle = m_idle[address];
    while (!idle.empty())
    {
        auto it = std::move(idle.back());
        idle.pop_back();
        auto const idle_for = m_clock.now() - it->idle_since();
        if (idle_for < s_longest_idle && it->quiet())
        {
            return it;
        }
        stale.push_back(std::move(it));
    }
    return nullptr;
}

void http_pool::keep(std::string const& address,
                     std::unique_ptr<http_connection> it)
{
    it->set_idle_since(m_clock.now());
    std::lock_guard const lock{m_mutex};
    auto& idle = m_idle[address];
    if (idle.size() < s_most_idle)
    {
        idle.push_back(std::move(it));
    }
}

void http_pool::forget(std::string const& address)
{
    kept dropped;
    std::lock_guard const lock{m_mutex};
    dropped.swap(m_idle[address]);
}

} // namespace berylhill::platform
