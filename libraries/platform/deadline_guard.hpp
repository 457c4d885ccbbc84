#pragma once

#include <base/time.hpp>

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

namespace berylhill::platform
{

/// Shuts sockets down at their deadline.
///
/// Guards against a peer that sends one byte now and then: the HTTP library's
/// timeouts begin anew with every byte, so a call would outlive its deadline
/// without limit. The guard holds because a shut-down socket wakes its reader.
/// It works on a duplicate of the descriptor, so that a number which was closed
/// and given to somebody else is never shut down. Thread-safe.
class deadline_guard
{
public:
    using ticket = std::uint64_t;

    deadline_guard();
    ~deadline_guard();
    deadline_guard(deadline_guard const&) = delete;
    deadline_guard& operator=(deadline_guard const&) = delete;

    /// Watches the socket until `at`, or until `release`.
    [[nodiscard]] ticket watch(int socket, base::instant at);

    /// Ends the watch; returns whether the deadline had struck.
    bool release(ticket it);

private:
    void run();

    base::system_clock m_clock;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_stopping{false};
    ticket m_next{1};
    /// By deadline, then ticket; the value is our own descriptor.
    std::map<std::pair<base::instant, ticket>, int> m_watched;
    std::map<ticket, base::instant> m_deadlines;
    std::thread m_thread;
};

} // namespace berylhill::platform
