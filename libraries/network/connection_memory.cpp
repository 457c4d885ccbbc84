#include <network/connection_memory.hpp>

#include <algorithm>

namespace berylhill::network
{

void connection_memory::set_reading(holder& it, std::size_t bytes)
{
    release(it);
    it.m_held = bytes;
    m_reading += bytes;
    m_readers.insert(&it);
    make_room();
}

bool connection_memory::set_answering(holder& it, std::size_t bytes)
{
    release(it);
    // One alone is always answered, whatever it takes: the limit is for many.
    if (m_answering > 0 && m_answering + bytes > m_limit / answering_share)
    {
        return false;
    }
    it.m_held = bytes;
    m_answering += bytes;
    make_room();
    return true;
}

void connection_memory::make_room()
{
    while (held() > m_limit && !m_readers.empty())
    {
        auto& largest = *largest_reading();
        release(largest);
        largest.give_way();
    }
}

void connection_memory::release(holder& it)
{
    auto& of = m_readers.erase(&it) > 0 ? m_reading : m_answering;
    of -= it.m_held;
    it.m_held = 0;
}

connection_memory::holder* connection_memory::largest_reading() const
{
    return *std::ranges::max_element(m_readers, {}, &holder::held);
}

} // namespace berylhill::network
