#pragma once

#include <network/http_message.hpp>

#include <httplib.h>

#include <functional>
#include <regex>
#include <string>
#include <vector>

namespace berylhill::entry
{

/// Where a request is handled.
enum class handled : std::uint8_t
{
    /// By a thread that may wait.
    by_thread,
    /// Where it was read, before all others that wait for a thread. The handler
    /// must not wait.
    at_once,
};

/// The handlers of an interface, by method and path. Thread-safe once all of
/// them have been added.
class http_router
{
public:
    using handler =
        std::function<void(httplib::Request const&, httplib::Response&)>;

    /// `pattern` is a regular expression for the whole path.
    void get(std::string const& pattern,
             handler run,
             handled where = handled::by_thread);
    void post(std::string const& pattern, handler run);

    /// Whether the request is answered at once, by a handler or because there
    /// is none.
    [[nodiscard]] bool answers_at_once(network::http_request const& it) const;

    /// Runs the handler of the request; 404 if there is none.
    [[nodiscard]] network::http_response
    answer(network::http_request const& it) const;

private:
    struct route
    {
        network::http_method method{network::http_method::get};
        std::regex pattern;
        handler run;
        handled where{handled::by_thread};
    };

    [[nodiscard]] route const* find(network::http_method method,
                                    std::string const& path) const;

    std::vector<route> m_routes;
};

} // namespace berylhill::entry
