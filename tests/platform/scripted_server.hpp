#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace berylhill::tests
{

/// A server below HTTP, whose every byte and close the test decides. Each
/// connection runs `script` with its socket and its number, counted from 0;
/// the socket is closed when the script returns.
class scripted_server
{
public:
    using script = std::function<void(int socket, int number)>;

    explicit scripted_server(script it);
    ~scripted_server();
    scripted_server(scripted_server const&) = delete;
    scripted_server& operator=(scripted_server const&) = delete;

    [[nodiscard]] std::string address() const;

    /// Requests that were read to the end of their headers.
    [[nodiscard]] int requests() const
    {
        return m_requests;
    }

    /// Reads one request without a body; empty where the peer closed.
    std::string read_request(int socket);

    /// Waits until the peer closes.
    static void await_close(int socket);

    static bool write(int socket, std::string_view text);

private:
    void run();

    script m_script;
    int m_listener{-1};
    int m_port{0};
    std::atomic<int> m_requests{0};
    std::mutex m_mutex;
    std::vector<int> m_open;
    std::vector<std::thread> m_threads;
    std::thread m_thread;
};

/// A whole answer with this body; `more` is put among the headers.
[[nodiscard]] std::string whole_answer(std::string const& body,
                                       std::string const& more = {});

} // namespace berylhill::tests
