#pragma once

#include <httplib.h>

#include <functional>
#include <list>
#include <mutex>
#include <thread>

namespace berylhill::stand_ins
{

/// One thread for each open connection, begun when it is opened. A stand-in
/// hosts many workers or minions, and a connection that is held back by a
/// fault must not keep the others waiting for a thread. Thread-safe.
class connection_threads final : public httplib::TaskQueue
{
public:
    void enqueue(std::function<void()> work) override;
    /// Waits for all.
    void shutdown() override;

private:
    struct item
    {
        std::thread thread;
        bool ended{false};
    };

    std::mutex m_mutex;
    std::list<item> m_items;
};

} // namespace berylhill::stand_ins
