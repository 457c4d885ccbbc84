#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace berylhill::stream
{

/// Lets each record of a writer through once, in rising order of sequence.
///
/// Guards against an append that takes effect twice, or so late that its
/// writer has given it up: the record then comes after one of the same writer
/// with a higher sequence. Every reader drops it, so all agree. Not
/// thread-safe.
class deduplicator
{
public:
    /// Remembers at most this many writers; the one silent for longest, in
    /// records, is forgotten first.
    explicit deduplicator(std::size_t most_writers = 4'096);

    /// Whether the record at `offset` counts. Offsets must rise.
    [[nodiscard]] bool accept(std::string const& writer,
                              std::int64_t sequence,
                              std::int64_t offset);

    [[nodiscard]] std::size_t writers() const noexcept
    {
        return m_last.size();
    }

private:
    struct last_seen
    {
        std::int64_t sequence{0};
        std::int64_t offset{0};
    };

    void forget_oldest();

    std::size_t m_most_writers;
    std::map<std::string, last_seen> m_last;
    std::map<std::int64_t, std::string> m_by_offset;
};

} // namespace berylhill::stream
