#include <platform/deadline_guard.hpp>

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace berylhill::platform
{

deadline_guard::deadline_guard()
    : m_thread{[this]
               {
                   run();
               }}
{
}

deadline_guard::~deadline_guard()
{
    {
        std::lock_guard const lock{m_mutex};
        m_stopping = true;
    }
    m_changed.notify_all();
    m_thread.join();
    for (auto const& it : m_watched)
    {
        ::close(it.second);
    }
}

deadline_guard::ticket deadline_guard::watch(int socket, base::instant at)
{
    auto const own = ::fcntl(socket, F_DUPFD_CLOEXEC, 0);
    std::lock_guard const lock{m_mutex};
    auto const it = m_next++;
    if (own < 0)
    {
        // Out of descriptors: the library's own timeouts still hold.
        return it;
    }
    m_watched.emplace(std::pair{at, it}, own);
    m_deadlines.emplace(it, at);
    m_changed.notify_all();
    return it;
}

bool deadline_guard::release(ticket it)
{
    std::lock_guard const lock{m_mutex};
    auto const known = m_deadlines.find(it);
    if (known == m_deadlines.end())
    {
        return false;
    }
    auto const watched = m_watched.find({known->second, it});
    auto const struck = watched == m_watched.end();
    if (!struck)
    {
        ::close(watched->second);
        m_watched.erase(watched);
    }
    m_deadlines.erase(known);
    return struck;
}

void deadline_guard::run()
{
    std::unique_lock lock{m_mutex};
    while (!m_stopping)
    {
        if (m_watched.empty())
        {
            m_changed.wait(lock);
            continue;
        }
        auto const first = m_watched.begin();
        auto const left = first->first.first - m_clock.now();
        if (left > base::duration::zero())
        {
            m_changed.wait_for(lock, left);
            continue;
        }
        ::shutdown(first->second, SHUT_RDWR);
        ::close(first->second);
        m_watched.erase(first);
    }
}

} // namespace berylhill::platform
