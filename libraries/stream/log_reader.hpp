#pragma once

#include <base/result.hpp>
#include <base/time.hpp>
#include <platform/log_service.hpp>
#include <stream/batch.hpp>
#include <stream/deduplicator.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace berylhill::stream
{

/// One entry as a reader gets it.
struct entry
{
    position at;
    std::string writer;
    Json::Value value;

    friend bool operator==(entry const&, entry const&) = default;
};

/// Records that retention dropped before this reader came.
struct gap
{
    /// The first offset missed, and the first that is there.
    std::int64_t from{0};
    std::int64_t to{0};

    friend bool operator==(gap const&, gap const&) = default;
};

struct reader_page
{
    /// Set before `entries` of the same page: forget what was folded and start
    /// again from snapshot entries.
    std::optional<gap> missed;
    std::vector<entry> entries;
    /// The offset that is read next.
    std::int64_t next{0};
    /// An instant before the read, if that read reached the stream's end: all
    /// that had taken effect by then has been handed out.
    std::optional<base::instant> fresh_as_of;
};

/// Follows one stream. Not thread-safe.
class log_reader
{
public:
    /// The log and the clock must outlive the reader.
    log_reader(platform::log_service& log,
               base::clock const& clock,
               std::string stream,
               std::int64_t from = 0);

    /// Reads on; where nothing is new, waits up to `wait`. Blocks. Fails with
    /// `unavailable`.
    [[nodiscard]] base::result<reader_page> poll(base::duration wait);

    [[nodiscard]] std::int64_t next() const noexcept
    {
        return m_next;
    }

private:
    void decode(platform::log_record const& record,
                std::vector<entry>& entries);

    platform::log_service& m_log;
    base::clock const& m_clock;
    std::string m_stream;
    std::int64_t m_next;
    deduplicator m_deduplicator;
};

} // namespace berylhill::stream
