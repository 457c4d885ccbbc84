#pragma once

#include <base/time.hpp>
#include <calls/attempt_rules.hpp>

#include <cstddef>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace berylhill::calls
{

struct connection_settings
{
    /// A quiet connection is pinged so often.
    base::duration ping_every{std::chrono::milliseconds{1'000}};
    /// A ping must be answered, or any other message come, within this.
    base::duration silent_after{std::chrono::milliseconds{2'000}};

    friend bool operator==(connection_settings const&,
                           connection_settings const&) = default;
};

/// Send a ping of the application, not of the transport.
struct send_ping
{
    friend bool operator==(send_ping const&, send_ping const&) = default;
};

/// Close the connection and open a new one; the other end is tried again
/// before it is called dead.
struct replace_connection
{
    friend bool operator==(replace_connection const&,
                           replace_connection const&) = default;
};

/// The request ended without an answer.
struct request_ended
{
    std::string request_id;
    attempt_end end{attempt_end::connection_lost};

    friend bool operator==(request_ended const&,
                           request_ended const&) = default;
};

using connection_action =
    std::variant<send_ping, replace_connection, request_ended>;

/// One connection that carries requests and answers, in any order, matched by
/// request id. It guards against connections that go silent for good while new
/// ones work (something between the ends lost track of them): without a ping
/// the requests on it would all wait until their deadlines, and so would every
/// request sent after them. Not thread-safe.
class connection_watch
{
public:
    connection_watch(connection_settings const& settings, base::instant now);

    /// A request waits to be written.
    void queued(std::string const& request_id, base::instant deadline);

    /// From now on a byte of the request may have left.
    void writing(std::string const& request_id);

    /// A whole answer with this request id came. False where none waits for
    /// it: the answer is dropped.
    [[nodiscard]] bool answered(std::string const& request_id,
                                base::instant now);

    /// Any other whole message came, such as the answer to a ping.
    void heard(base::instant now);

    /// The connection broke, or is closed here. Every request on it ends.
    [[nodiscard]] std::vector<connection_action> closed();

    /// Pings, replaces, and ends requests whose deadline is over.
    [[nodiscard]] std::vector<connection_action> expire(base::instant now);

    [[nodiscard]] std::size_t in_flight() const noexcept
    {
        return m_requests.size();
    }

private:
    struct request
    {
        base::instant deadline;
        bool written{false};
    };

    connection_settings m_settings;
    std::unordered_map<std::string, request> m_requests;
    base::instant m_heard;
    base::instant m_pinged;
};

} // namespace berylhill::calls
