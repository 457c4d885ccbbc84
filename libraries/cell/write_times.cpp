#include <cell/write_times.hpp>

#include <algorithm>

namespace berylhill::cell
{

namespace
{

/// Half a minute of regular reads; older records are of no interest.
constexpr std::size_t max_ends = 128;

} // namespace

void write_times::log_ended(std::uint64_t end, base::instant at)
{
    // An answer may be overtaken by that of a later read.
    if (!m_ends.empty() && at < m_ends.back().at)
    {
        return;
    }
    while (!m_ends.empty() && m_ends.back().end >= end)
    {
        m_ends.pop_back();
    }
    m_ends.push_back({end, at});
    if (m_ends.size() > max_ends)
    {
        m_ends.pop_front();
    }
}

std::optional<base::instant>
write_times::written_after(std::uint64_t offset) const
{
    auto const it =
        std::ranges::upper_bound(m_ends, offset, {}, &known_end::end);
    return it == m_ends.begin() ? std::nullopt
                                : std::optional{std::prev(it)->at};
}

log_end_age write_times::last_end(base::instant now) const
{
    return m_ends.empty()
               ? log_end_age{}
               : log_end_age{m_ends.back().end, now - m_ends.back().at};
}

} // namespace berylhill::cell
