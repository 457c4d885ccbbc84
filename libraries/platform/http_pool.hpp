#pragma once

#include <base/result.hpp>
#include <base/time.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace berylhill::platform
{

class deadline_guard;
class http_connection;

struct http_request
{
    std::string method{"GET"};
    /// With the query.
    std::string target;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string content_type;
    std::string body;
};

/// A whole answer: its length was declared and every byte of it came.
struct http_reply
{
    std::int32_t status{0};
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;

    /// Empty where there is no such header.
    [[nodiscard]] std::string header(std::string const& lower_case) const;
};

enum class connection_choice : std::uint8_t
{
    any,   ///< A kept connection where there is one.
    fresh, ///< Always a new connection, which shows that the peer is there.
};

/// Keeps connections by address. Each request is written at most once: the
/// library looks whether a kept connection was closed before it writes, and
/// repeats nothing once it has written. Thread-safe; blocks.
class http_pool
{
public:
    http_pool();
    ~http_pool();
    http_pool(http_pool const&) = delete;
    http_pool& operator=(http_pool const&) = delete;

    /// One request and its whole answer, all within `timeout`. Fails with
    /// `unavailable` only when no connection was made, so that surely nothing
    /// was sent, and with `outcome_unknown` otherwise. Precondition: `address`
    /// is `IP:port`.
    [[nodiscard]] base::result<http_reply>
    send(std::string const& address,
         http_request const& request,
         base::duration timeout,
         connection_choice choice = connection_choice::any);

    /// Closes the connections to `address` that are not in use.
    void forget(std::string const& address);

private:
    using kept = std::vector<std::unique_ptr<http_connection>>;

    std::unique_ptr<http_connection> take(std::string const& address,
                                          connection_choice choice);
    void keep(std::string const& address, std::unique_ptr<http_connection> it);

    std::unique_ptr<deadline_guard> m_guard;
    base::system_clock m_clock;
    std::mutex m_mutex;
    std::map<std::string, kept> m_idle;
};

} // namespace berylhill::platform
