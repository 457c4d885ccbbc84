#include "heartbeats.hpp"

#include "documents.hpp"

#include <algorithm>
#include <chrono>

namespace berylhill::platform_test
{

namespace
{

constexpr std::chrono::milliseconds heartbeat{1'500};

} // namespace

heartbeats::heartbeats(boost::asio::io_context& loop,
                       store_stand_in& store,
                       entries_function entries)
    : m_store{store}
    , m_entries{std::move(entries)}
    , m_timer{loop}
{
    write_next();
}

void heartbeats::write_next()
{
    auto const all = m_entries();
    if (!all.empty() && !m_store.down())
    {
        auto const& [id, entry] = all[m_next++ % all.size()];
        m_store.put(instances_topic, id, entry);
    }
    m_timer.expires_after(heartbeat / std::max<std::size_t>(all.size(), 1));
    m_timer.async_wait(
        [this](auto ec)
        {
            if (!ec)
            {
                write_next();
            }
        });
}

} // namespace berylhill::platform_test
