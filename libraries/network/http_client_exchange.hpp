#pragma once

#include <network/http_client.hpp>

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http.hpp>

#include <memory>
#include <optional>

namespace berylhill::network
{

/// One call: takes or opens a connection, sends, reads, and reports once. Not
/// thread-safe.
class http_client::exchange final
    : public call_under_way,
      public std::enable_shared_from_this<exchange>
{
public:
    exchange(http_client& owner,
             socket_address to,
             connection_choice const& choice,
             http_request const& request,
             call_handler handler);

    /// Asks its client for a connection to the address. Once only.
    void start(call_patience const& patience);

    [[nodiscard]] bool begun() const override;
    void break_off() override;

    [[nodiscard]] socket_address const& to() const noexcept;

    /// The handler was called, or never will be.
    [[nodiscard]] bool finished() const noexcept;

    /// A connection to the address may be used now. Called by the client.
    void connect();

private:
    void wait(base::duration limit);
    void fill(http_request const& from);
    void open();
    void opened(boost::system::error_code ec);
    void send();
    void written(boost::system::error_code ec);

    /// Room is made for a large body before it is read. Beast reads no more
    /// at a time than the buffer has room for, half a kilobyte at first: a
    /// page of a log took hundreds of turns of the event loop, and missed its
    /// deadline each time where the loop was busy.
    void header_read(boost::system::error_code ec);
    void read_on();
    void piece_read(boost::system::error_code ec);
    void read(boost::system::error_code ec);

    /// Whether the call is still wanted and its connection works.
    bool goes_on(boost::system::error_code ec);

    /// An idle connection that the other side had closed breaks on its first
    /// use; the request then goes out once more on a new one, unless only that
    /// connection may be used.
    void broken();

    /// The other connections to the address went the same way, so they are
    /// not trusted either: a silent link answers on none of them.
    void time_out();
    [[nodiscard]] std::uint64_t received() const;
    void finish(call_result result);

    http_client& m_owner;
    socket_address m_to;
    connection_choice m_choice;
    boost::asio::steady_timer m_timer;
    base::duration m_stall{0};
    call_handler m_handler;
    boost::beast::http::request<boost::beast::http::string_body> m_request;
    std::optional<
        boost::beast::http::response_parser<boost::beast::http::string_body>>
        m_parser;
    std::unique_ptr<connection> m_connection;
    bool m_running{false};
    bool m_reused{false};
    bool m_sent{false};
    bool m_sent_before{false};
    bool m_finished{false};
};

} // namespace berylhill::network
