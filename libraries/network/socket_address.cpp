#include <network/socket_address.hpp>

#include <boost/asio/ip/address_v4.hpp>

#include <charconv>

namespace berylhill::network
{

base::result<socket_address> parse_socket_address(std::string_view text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos)
    {
        return base::fail(base::failure_code::invalid,
                          "not IP:port: " + std::string{text});
    }
    auto const digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    auto const end = digits.data() + digits.size();
    auto const read = std::from_chars(digits.data(), end, port);
    boost::system::error_code ec;
    auto host = std::string{text.substr(0, colon)};
    auto const address = boost::asio::ip::make_address_v4(host, ec);
    // A text with a zero byte is read only up to there.
    if (ec || address.to_string() != host || read.ec != std::errc{} ||
        read.ptr != end)
    {
        return base::fail(base::failure_code::invalid,
                          "not IP:port: " + std::string{text});
    }
    return socket_address{std::move(host), port};
}

socket_address address_or_empty(std::string_view text)
{
    auto const read = base::capture([&] { return parse_socket_address(text); });
    return read ? read.value() : socket_address{};
}

std::string text_of(socket_address const& it)
{
    return it.host + ":" + std::to_string(it.port);
}

} // namespace berylhill::network
