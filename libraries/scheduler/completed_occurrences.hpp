#pragma once

#include <cstdint>
#include <set>

namespace berylhill::scheduler
{

/// The occurrences of a job that are complete: all below a number, and some
/// beyond it. Takes no more room the more of them there are, unless an early
/// one stays open. Not thread-safe.
class completed_occurrences
{
public:
    /// All occurrences with a lower number are complete.
    [[nodiscard]] std::uint32_t all_below() const noexcept
    {
        return m_all_below;
    }

    /// The others that are complete.
    [[nodiscard]] std::set<std::uint32_t> const& beyond() const noexcept
    {
        return m_beyond;
    }

    [[nodiscard]] bool contains(std::uint32_t it) const
    {
        return it < m_all_below || m_beyond.contains(it);
    }

    void add(std::uint32_t it)
    {
        if (it >= m_all_below)
        {
            m_beyond.insert(it);
        }
        advance();
    }

    /// Adds all occurrences with a lower number.
    void add_all_below(std::uint32_t it)
    {
        if (it > m_all_below)
        {
            m_all_below = it;
            m_beyond.erase(m_beyond.begin(), m_beyond.lower_bound(it));
        }
        advance();
    }

private:
    void advance()
    {
        while (m_beyond.erase(m_all_below) > 0)
        {
            ++m_all_below;
        }
    }

    std::uint32_t m_all_below{0};
    std::set<std::uint32_t> m_beyond;
};

} // namespace berylhill::scheduler
