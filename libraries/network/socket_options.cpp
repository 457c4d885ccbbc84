#include <network/socket_options.hpp>

#include <base/log.hpp>

#include <netinet/tcp.h>

namespace berylhill::network
{

namespace
{

/// Milliseconds that sent bytes may stay unacknowledged. Above the longest
/// answer that a caller waits for on a healthy link (3 s).
constexpr int unacknowledged_limit_ms = 4'000;

} // namespace

void set_call_options(boost::asio::ip::tcp::socket& it)
{
    boost::system::error_code ec;
    it.set_option(boost::asio::ip::tcp::no_delay{true}, ec);
    if (ec)
    {
        base::log(base::log_level::debug, "socket_option_refused",
                  {{"option", "TCP_NODELAY"}, {"error", ec.message()}});
    }
    int const limit = unacknowledged_limit_ms;
    if (::setsockopt(it.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &limit,
                     sizeof limit) != 0)
    {
        base::log(base::log_level::debug, "socket_option_refused",
                  {{"option", "TCP_USER_TIMEOUT"}});
    }
}

} // namespace berylhill::network
