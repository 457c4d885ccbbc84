#pragma once

#include <cstddef>
#include <limits>
#include <unordered_set>

namespace berylhill::network
{

/// The memory that connections hold together, those of several servers where
/// they share it. When it is over its limit, the connection with the largest
/// unfinished request is closed; a request that was read whole is answered.
/// Not thread-safe.
class connection_memory
{
public:
    /// A connection that holds memory.
    class holder
    {
    public:
        holder() = default;
        holder(holder const&) = delete;
        holder& operator=(holder const&) = delete;
        virtual ~holder() = default;

        /// Closes the connection, whose request has not been read whole, and
        /// frees what it holds.
        virtual void give_way() = 0;

        [[nodiscard]] std::size_t held() const noexcept
        {
            return m_held;
        }

    private:
        friend class connection_memory;

        std::size_t m_held{0};
    };

    /// Of the limit, whole requests that are being answered may hold this
    /// share; the rest is for those that are being read.
    static constexpr std::size_t answering_share = 2;

    /// Sets the limit. If more is held, connections give way at the next
    /// change.
    void set_limit(std::size_t bytes)
    {
        m_limit = bytes;
    }

    /// Sets what the holder has of an unfinished request, in bytes. Holders
    /// give way while all hold too much, `it` among them.
    void set_reading(holder& it, std::size_t bytes);

    /// The request is whole, and being answered takes so much. Returns false,
    /// and counts nothing for it, if others take too much already.
    [[nodiscard]] bool set_answering(holder& it, std::size_t bytes);

    /// The holder holds nothing any more.
    void release(holder& it);

    [[nodiscard]] std::size_t held() const noexcept
    {
        return m_reading + m_answering;
    }

private:
    void make_room();
    [[nodiscard]] holder* largest_reading() const;

    std::size_t m_limit{std::numeric_limits<std::size_t>::max()};
    std::size_t m_reading{0};
    std::size_t m_answering{0};
    std::unordered_set<holder*> m_readers;
};

} // namespace berylhill::network
