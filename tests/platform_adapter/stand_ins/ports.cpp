#include "ports.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <unistd.h>

#include <vector>

namespace berylhill::platform_test
{

std::uint16_t free_ports(std::uint16_t wanted)
{
    using boost::asio::ip::tcp;
    boost::asio::io_context loop;
    constexpr int lowest = 20'000;
    for (auto first = static_cast<std::uint16_t>(lowest + ::getpid() % lowest);;
         first = static_cast<std::uint16_t>(first + wanted))
    {
        try
        {
            std::vector<tcp::acceptor> held;
            for (std::uint16_t n = 0; n < wanted; ++n)
            {
                held.emplace_back(
                    loop,
                    tcp::endpoint{boost::asio::ip::make_address_v4("127.0.0.1"),
                                  static_cast<std::uint16_t>(first + n)});
            }
            return first;
        }
        catch (boost::system::system_error const&)
        {
            // Taken by somebody; the next run of ports is tried.
            continue;
        }
    }
}

} // namespace berylhill::platform_test
