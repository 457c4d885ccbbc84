#pragma once

#include <base/time.hpp>
#include <network/http_server.hpp>

namespace berylhill::cell
{

/// Tells the log that limits of a listener were met: one line a second at most,
/// however many clients meet them. Not thread-safe.
class limit_log
{
public:
    /// `server` must outlive it; `listener` is its name in log lines and
    /// metrics, a literal.
    limit_log(char const* listener, network::http_server const& server)
        : m_listener{listener}
        , m_server{server}
    {
    }

    [[nodiscard]] char const* listener() const noexcept
    {
        return m_listener;
    }

    [[nodiscard]] network::server_counts const& counts() const noexcept
    {
        return m_server.counts();
    }

    /// Writes a line if a count has changed since the last one. Call it some
    /// times a second.
    void look(base::instant now);

private:
    char const* m_listener;
    network::http_server const& m_server;
    network::server_counts m_told;
    base::instant m_next{};
};

} // namespace berylhill::cell
