#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace berylhill::scheduler
{

/// What one object adds to a total of bytes, until it goes. Not thread-safe.
class memory_share
{
public:
    /// Adds to nothing if there is no total.
    explicit memory_share(std::shared_ptr<std::size_t> total = nullptr)
        : m_total{std::move(total)}
    {
    }

    memory_share(memory_share const&) = delete;
    memory_share& operator=(memory_share const&) = delete;

    ~memory_share()
    {
        set(0);
    }

    void set(std::size_t bytes)
    {
        if (m_total)
        {
            *m_total += bytes - m_bytes;
        }
        m_bytes = bytes;
    }

    [[nodiscard]] std::size_t bytes() const noexcept
    {
        return m_bytes;
    }

private:
    std::shared_ptr<std::size_t> m_total;
    std::size_t m_bytes{0};
};

} // namespace berylhill::scheduler
