#pragma once

#include <chrono>
#include <condition_variable>
#include <mutex>

namespace berylhill::stand_ins
{

/// Holds threads back while it is shut: how a stand-in goes silent.
/// Thread-safe.
class gate
{
public:
    void shut()
    {
        std::lock_guard const lock{m_mutex};
        m_open = false;
    }

    void open()
    {
        {
            std::lock_guard const lock{m_mutex};
            m_open = true;
        }
        m_changed.notify_all();
    }

    /// Waits until it is open, or `most` is over; returns whether it had to.
    bool pass(std::chrono::milliseconds most)
    {
        std::unique_lock lock{m_mutex};
        if (m_open)
        {
            return false;
        }
        m_changed.wait_for(lock, most, [this] { return m_open; });
        return true;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_open{true};
};

} // namespace berylhill::stand_ins
