#include <stream/deduplicator.hpp>

namespace berylhill::stream
{

deduplicator::deduplicator(std::size_t most_writers)
    : m_most_writers{most_writers}
{
}

bool deduplicator::accept(std::string const& writer,
                          std::int64_t sequence,
                          std::int64_t offset)
{
    auto const known = m_last.find(writer);
    if (known == m_last.end())
    {
        m_last.emplace(writer, last_seen{sequence, offset});
        m_by_offset.emplace(offset, writer);
        forget_oldest();
        return true;
    }
    auto& last = known->second;
    if (sequence <= last.sequence)
    {
        return false;
    }
    m_by_offset.erase(last.offset);
    last = {sequence, offset};
    m_by_offset.emplace(offset, writer);
    return true;
}

void deduplicator::forget_oldest()
{
    if (m_last.size() <= m_most_writers)
    {
        return;
    }
    auto const oldest = m_by_offset.begin();
    m_last.erase(oldest->second);
    m_by_offset.erase(oldest);
}

} // namespace berylhill::stream
