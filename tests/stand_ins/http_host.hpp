#pragma once

#include <stand_ins/history.hpp>

#include <httplib.h>

#include <functional>
#include <map>
#include <string>
#include <thread>

namespace berylhill::stand_ins
{

/// One order to a stand-in to misbehave, or to heal.
struct fault
{
    std::string subject;
    std::string name;
    double value{0};
};

/// One HTTP server on a loopback port, with `GET /history` and
/// `POST /control`. Handlers run on many threads.
class http_host
{
public:
    using fault_handler = std::function<bool(fault const&)>;

    /// `on_fault` returns whether it knows the subject and the fault.
    http_host(history& seen, fault_handler on_fault);
    ~http_host();
    http_host(http_host const&) = delete;
    http_host& operator=(http_host const&) = delete;

    [[nodiscard]] httplib::Server& server() noexcept
    {
        return m_server;
    }

    /// Binds and serves from now on; 0 takes a free port. Returns the port, or
    /// 0 where it cannot be bound.
    int start(int port);

    /// Ends open requests that only wait, and the server.
    void stop();

private:
    void add_control(fault_handler on_fault);

    httplib::Server m_server;
    std::thread m_thread;
};

/// An answer which breaks off after its headers: what a caller sees when the
/// connection is lost while the answer is on its way.
void break_off(httplib::Response& response);

} // namespace berylhill::stand_ins
