#pragma once

#include <httplib.h>

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace berylhill::tests
{

/// Answers on a loopback port with what a test has laid out, and remembers
/// what it was asked.
class fake_entry
{
public:
    fake_entry()
    {
        m_port = m_server.bind_to_any_port("127.0.0.1");
        m_thread = std::thread{[this]
                               {
                                   m_server.listen_after_bind();
                               }};
        while (!m_server.is_running())
        {
            std::this_thread::yield();
        }
    }
    fake_entry(fake_entry const&) = delete;
    fake_entry& operator=(fake_entry const&) = delete;
    ~fake_entry()
    {
        m_server.stop();
        m_thread.join();
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_port);
    }

    void on_get(std::string const& pattern,
                int status,
                std::string const& body,
                std::string const& type = "application/json")
    {
        m_server.Get(pattern, handler(status, body, type));
    }

    void on_post(std::string const& pattern,
                 int status,
                 std::string const& body,
                 std::string const& type = "application/json")
    {
        m_server.Post(pattern, handler(status, body, type));
    }

    [[nodiscard]] std::vector<httplib::Request> asked()
    {
        std::lock_guard const guard{m_lock};
        return m_asked;
    }

private:
    httplib::Server::Handler
    handler(int status, std::string const& body, std::string const& type)
    {
        return [=, this](httplib::Request const& in, httplib::Response& out)
        {
            std::lock_guard const guard{m_lock};
            m_asked.push_back(in);
            out.status = status;
            out.set_content(body, type);
        };
    }

    httplib::Server m_server;
    std::thread m_thread;
    int m_port{0};
    std::mutex m_lock;
    std::vector<httplib::Request> m_asked;
};

} // namespace berylhill::tests
