#pragma once

#include <base/buffered_log.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace berylhill::base
{

/// Lines that wait for their reader, up to a bound in bytes. Not thread-safe.
class line_buffer
{
public:
    explicit line_buffer(std::size_t most_bytes);

    /// Takes the line, or counts it as dropped where there is no room.
    void push(std::string_view line);

    [[nodiscard]] bool empty() const noexcept
    {
        return m_begin == m_text.size();
    }

    /// Up to `most` bytes from the front; valid until the next call.
    [[nodiscard]] std::string_view front(std::size_t most) const;

    /// Precondition: `front` gave at least `n` bytes.
    void pop(std::size_t n);

    [[nodiscard]] log_counts counts() const noexcept
    {
        return m_counts;
    }

private:
    std::size_t m_most;
    std::string m_text;
    std::size_t m_begin{0};
    /// Since the last line that told of it.
    std::uint64_t m_untold{0};
    log_counts m_counts;
};

} // namespace berylhill::base
