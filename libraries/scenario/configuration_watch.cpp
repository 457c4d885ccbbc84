#include <scenario/configuration_watch.hpp>

namespace berylhill::scenario
{

namespace
{

constexpr auto s_every = std::chrono::milliseconds{300};

} // namespace

configuration_watch::configuration_watch(api_client& api, balancer& entries)
    : m_api{api}
    , m_entries{entries}
    , m_thread{[this]
               {
                   run();
               }}
{
}

configuration_watch::~configuration_watch()
{
    {
        std::lock_guard const lock{m_mutex};
        m_stopping = true;
    }
    m_stop.notify_all();
    m_thread.join();
}

void configuration_watch::run()
{
    std::unique_lock lock{m_mutex};
    while (!m_stopping)
    {
        lock.unlock();
        for (auto const& it : m_entries.all())
        {
            // An entry that does not answer shows nothing; the journal has
            // what the others show.
            auto const seen =
                base::capture([&] { return m_api.configuration(it); });
            static_cast<void>(seen.has_value());
        }
        lock.lock();
        m_stop.wait_for(lock, s_every, [this] { return m_stopping; });
    }
}

} // namespace berylhill::scenario
