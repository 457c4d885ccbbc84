#include <base/line_buffer.hpp>

#include <algorithm>

namespace berylhill::base
{

line_buffer::line_buffer(std::size_t most_bytes)
    : m_most{most_bytes}
{
}

void line_buffer::push(std::string_view line)
{
    auto const held = m_text.size() - m_begin;
    if (held + line.size() > m_most)
    {
        ++m_untold;
        ++m_counts.dropped;
        return;
    }
    if (m_untold > 0)
    {
        m_text +=
            "level=WARN event=log_dropped lines=" + std::to_string(m_untold) +
            "\n";
        m_untold = 0;
    }
    m_text += line;
    ++m_counts.lines;
    m_counts.bytes += line.size();
}

std::string_view line_buffer::front(std::size_t most) const
{
    return std::string_view{m_text}.substr(m_begin, most);
}

void line_buffer::pop(std::size_t n)
{
    m_begin += n;
    if (m_begin == m_text.size())
    {
        m_text.clear();
        m_begin = 0;
    }
    else if (m_begin > m_most / 2)
    {
        m_text.erase(0, m_begin);
        m_begin = 0;
    }
}

} // namespace berylhill::base
