#include <stand_ins/connection_threads.hpp>

#include <utility>

namespace berylhill::stand_ins
{

void connection_threads::enqueue(std::function<void()> work)
{
    std::list<item> ended;
    {
        std::lock_guard const lock{m_mutex};
        for (auto it = m_items.begin(); it != m_items.end();)
        {
            auto const next = std::next(it);
            if (it->ended)
            {
                ended.splice(ended.end(), m_items, it);
            }
            it = next;
        }
        auto& added = m_items.emplace_back();
        added.thread = std::thread{[this, &added, work = std::move(work)]
                                   {
                                       work();
                                       std::lock_guard const inner{m_mutex};
                                       added.ended = true;
                                   }};
    }
    for (auto& it : ended)
    {
        it.thread.join();
    }
}

void connection_threads::shutdown()
{
    std::list<item> all;
    {
        std::lock_guard const lock{m_mutex};
        all.splice(all.end(), m_items);
    }
    for (auto& it : all)
    {
        it.thread.join();
    }
}

} // namespace berylhill::stand_ins
