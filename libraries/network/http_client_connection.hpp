#pragma once

#include <network/http_client.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>

namespace berylhill::network
{

/// A connection of a client, counted while it is open. Not thread-safe.
class http_client::connection
{
public:
    connection(boost::asio::io_context& loop,
               std::uint64_t n,
               std::shared_ptr<std::size_t> open)
        : number{n}
        , socket{loop}
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

    /// Returns whether a request may be sent on it after an earlier exchange.
    /// False if the other side has closed it, or has sent more than the answer:
    /// those bytes would be read as the next one.
    [[nodiscard]] bool reusable();

    /// Bytes that were received and not yet read; a part of an answer that has
    /// to come whole, such as a field or the size of a chunk, is no longer.
    static constexpr std::size_t max_buffer = std::size_t{128} * 1'024;

    /// Unique among those of its client; the first is 1.
    std::uint64_t const number;
    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buf{max_buffer};
    /// Its place among the idle ones, while it is one.
    std::list<pool_key>::const_iterator idle_at;

private:
    std::shared_ptr<std::size_t> m_open;
};

} // namespace berylhill::network
