#pragma once

#include <base/time.hpp>
#include <platform/deadline_guard.hpp>
#include <platform/http_pool.hpp>

#include <httplib.h>

#include <string>
#include <vector>

namespace berylhill::platform
{

/// One connection and what it takes to end a request on it at its deadline.
/// Used by one thread at a time.
class http_connection
{
public:
    http_connection(std::string const& host, int port, deadline_guard& guard);
    http_connection(http_connection const&) = delete;
    http_connection& operator=(http_connection const&) = delete;

    /// Writes the request at most once; null result with the library's reason
    /// where no whole answer came by `at`.
    [[nodiscard]] httplib::Result
    send(http_request const& request, base::instant now, base::instant at);

    /// Open, and nothing waits to be read.
    ///
    /// Guards against bytes that come after an answer was taken as whole: the
    /// library would read them as the answer to the next request. A peer owes
    /// us nothing between two requests, so a connection with anything to read
    /// (its end included) is not used again.
    [[nodiscard]] bool quiet() const;

    void set_idle_since(base::instant it)
    {
        m_idle_since = it;
    }
    [[nodiscard]] base::instant idle_since() const
    {
        return m_idle_since;
    }

private:
    httplib::Client m_client;
    deadline_guard& m_guard;
    base::instant m_deadline{};
    base::instant m_idle_since{};
    std::vector<deadline_guard::ticket> m_tickets;
};

} // namespace berylhill::platform
