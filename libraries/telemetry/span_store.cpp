#include <telemetry/span_store.hpp>

#include <algorithm>
#include <utility>

namespace berylhill::telemetry
{

span_store::span_store(std::size_t most)
    : m_most{most}
{
}

void span_store::add(span it)
{
    std::lock_guard const guard{m_lock};
    if (m_most == 0)
    {
        return;
    }
    if (m_spans.size() == m_most)
    {
        drop_oldest();
    }
    m_spans.push_back(std::move(it));
    m_by_trace.emplace(m_spans.back().context.trace_id,
                       std::prev(m_spans.end()));
}

std::vector<span> span_store::spans_of(std::string const& trace_id) const
{
    std::lock_guard const guard{m_lock};
    std::vector<span> out;
    auto const [first, last] = m_by_trace.equal_range(trace_id);
    for (auto it = first; it != last; ++it)
    {
        out.push_back(*it->second);
    }
    auto const end_of = [](span const& it)
    {
        return it.start_us + it.duration_us;
    };
    std::sort(out.begin(), out.end(),
              [&](auto const& a, auto const& b)
              { return end_of(a) < end_of(b); });
    return out;
}

std::size_t span_store::size() const
{
    std::lock_guard const guard{m_lock};
    return m_spans.size();
}

void span_store::drop_oldest()
{
    auto const oldest = m_spans.begin();
    auto const [first, last] = m_by_trace.equal_range(oldest->context.trace_id);
    auto const it = std::find_if(
        first, last, [&](auto const& entry) { return entry.second == oldest; });
    m_by_trace.erase(it);
    m_spans.erase(oldest);
}

} // namespace berylhill::telemetry
