#pragma once

#include <atomic>
#include <cstddef>
#include <limits>

namespace berylhill::rpc
{

/// The bytes that frames take together, from their first byte until they have
/// been handled. Thread-safe.
class frame_budget
{
public:
    explicit frame_budget(
        std::size_t most = std::numeric_limits<std::size_t>::max())
        : m_most{most}
    {
    }

    /// Returns false, and takes nothing, if too many are taken.
    [[nodiscard]] bool take(std::size_t bytes)
    {
        if (m_taken.fetch_add(bytes) + bytes <= m_most)
        {
            return true;
        }
        m_taken -= bytes;
        return false;
    }

    /// Precondition: they were taken.
    void give_back(std::size_t bytes)
    {
        m_taken -= bytes;
    }

private:
    std::size_t m_most;
    std::atomic<std::size_t> m_taken{0};
};

/// What one frame takes of a budget, as long as this object lives. Not
/// thread-safe.
class frame_share
{
public:
    /// A frame is never refused its first bytes: most frames have no more, and
    /// a few large ones must not keep them out.
    static constexpr std::size_t free_bytes = std::size_t{64} * 1'024;

    explicit frame_share(frame_budget& of)
        : m_of{of}
    {
    }

    ~frame_share()
    {
        m_of.give_back(m_taken);
    }

    frame_share(frame_share const&) = delete;
    frame_share& operator=(frame_share const&) = delete;

    /// The frame grows to so many bytes. Returns false if there is no room.
    [[nodiscard]] bool grow_to(std::size_t bytes)
    {
        auto const wanted = bytes > free_bytes ? bytes - free_bytes : 0;
        if (wanted <= m_taken)
        {
            return true;
        }
        if (!m_of.take(wanted - m_taken))
        {
            return false;
        }
        m_taken = wanted;
        return true;
    }

private:
    frame_budget& m_of;
    std::size_t m_taken{0};
};

} // namespace berylhill::rpc
