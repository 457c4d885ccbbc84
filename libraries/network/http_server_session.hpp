#pragma once

#include <network/connection_memory.hpp>
#include <network/http_server.hpp>
#include <network/request_parser.hpp>

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <list>
#include <memory>
#include <optional>

namespace berylhill::network
{

/// One connection of a server: reads a request, has it answered, and reads the
/// next one. Not thread-safe.
class http_server::session final : public connection_memory::holder,
                                   public std::enable_shared_from_this<session>
{
public:
    session(http_server& owner, boost::asio::ip::tcp::socket socket);
    ~session() override;

    /// Waits for a request.
    void begin();

    void close();

    /// Closes the connection to make room for a new one.
    void close_for_new();

    void give_way() override;

private:
    void read_first();
    void read();
    void bytes_read(boost::system::error_code ec, std::size_t n);
    [[nodiscard]] std::size_t next_read() const;
    [[nodiscard]] boost::system::error_code parse();
    void refuse(refused_request why);
    void request_read();
    void write(http_response it);
    void written(boost::system::error_code ec);
    void wait(base::duration limit, void (session::*when_over)());
    void time_out();
    void stop_waiting();
    [[nodiscard]] std::size_t held_by_request() const;

    http_server& m_owner;
    std::shared_ptr<connection_memory> m_memory;
    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    boost::beast::flat_buffer m_buf;
    /// While a request is being read.
    std::optional<request_parser> m_parser;
    boost::beast::http::response<boost::beast::http::string_body> m_response;
    /// Its place among the connections without a whole request.
    std::optional<std::list<session*>::iterator> m_waiting;
    bool m_close_after{false};
    bool m_closed{false};
};

} // namespace berylhill::network
