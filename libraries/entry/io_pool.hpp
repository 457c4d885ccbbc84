#pragma once

#include <cstddef>
#include <functional>
#include <memory>

namespace berylhill::entry
{

/// Threads for work that blocks (HTTP and RPC), so that it stays off the
/// actors' threads. Thread-safe.
class io_pool
{
public:
    explicit io_pool(std::size_t threads);
    /// Waits for what was posted.
    ~io_pool();
    io_pool(io_pool const&) = delete;
    io_pool& operator=(io_pool const&) = delete;

    void post(std::function<void()> work);

    /// Finishes what was posted and takes nothing more.
    void join();

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace berylhill::entry
