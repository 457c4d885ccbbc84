#pragma once

#include <cstddef>

namespace berylhill::scheduler
{

/// Decides what accepted work may still take of the memory. The owner may be
/// lost at any time, and then its successor holds the same work: nothing that
/// is accepted goes away by itself before it has ended.
///
/// Load: clients that submit small requests for much work, all at once. A
/// value; pure.
class work_room
{
public:
    /// What an attempt takes, at its instance and in reports.
    static constexpr std::size_t bytes_per_attempt = 640;

    /// So many attempts may always run, whatever the work takes: only work that
    /// runs to its end makes room.
    static constexpr std::size_t min_attempts = 1'000;

    /// `max_bytes` is the limit for all work; `jobs` is what all jobs take.
    work_room(std::size_t max_bytes, std::size_t jobs, std::size_t attempts)
        : m_max_bytes{max_bytes}
        , m_used{jobs + attempts * bytes_per_attempt}
        , m_attempts{attempts}
    {
    }

    [[nodiscard]] std::size_t max_bytes() const noexcept
    {
        return m_max_bytes;
    }

    [[nodiscard]] std::size_t used() const noexcept
    {
        return m_used;
    }

    /// Whether a job that takes so much is accepted. A quarter of the room is
    /// left for what accepted jobs take while they run.
    [[nodiscard]] bool accepts(std::size_t bytes) const noexcept
    {
        return m_used + bytes <= m_max_bytes / 4 * 3;
    }

    /// Whether one more occurrence of a job is opened beside others of it. Jobs
    /// that are due too often leave half of the room to other jobs.
    [[nodiscard]] bool opens(std::size_t bytes) const noexcept
    {
        return m_used + bytes <= m_max_bytes / 2;
    }

    /// How many more attempts may be placed.
    [[nodiscard]] std::size_t attempts() const noexcept
    {
        auto const least =
            m_attempts < min_attempts ? min_attempts - m_attempts : 0;
        auto const by_room = m_used < m_max_bytes
                                 ? (m_max_bytes - m_used) / bytes_per_attempt
                                 : 0;
        return by_room > least ? by_room : least;
    }

private:
    std::size_t m_max_bytes;
    std::size_t m_used;
    std::size_t m_attempts;
};

} // namespace berylhill::scheduler
