#include "ports.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <unistd.h>

#include <vector>

namespace berylhill::platform_test
{

std::uint16_t free_ports(port_range from, std::uint16_t wanted)
{
    using boost::asio::ip::tcp;
    boost::asio::io_context loop;
    constexpr int slots = 60;
    constexpr int slot_size = 100;
    auto const slot = ::getpid() % slots * slot_size;
    for (auto first = static_cast<std::uint16_t>(static_cast<int>(from) + slot);
         ; first = static_cast<std::uint16_t>(first + wanted))
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
