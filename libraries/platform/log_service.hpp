#pragma once

#include <base/result.hpp>
#include <base/time.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace berylhill::platform
{

/// One record of a stream of the platform's log.
struct log_record
{
    /// Rises by one a record; the first is 0.
    std::int64_t offset{0};
    std::string body;

    friend bool operator==(log_record const&, log_record const&) = default;
};

/// A part of a stream.
struct log_page
{
    /// The oldest offset that retention has left.
    std::int64_t first{0};
    /// The offset that the next append will get.
    std::int64_t next{0};
    std::vector<log_record> records;
};

/// The platform's append-only log. Implementations are thread-safe and block.
class log_service
{
public:
    log_service() = default;
    log_service(log_service const&) = delete;
    log_service& operator=(log_service const&) = delete;
    virtual ~log_service() = default;

    /// Appends one record and returns its offset. Fails with `unavailable`
    /// when nothing was written, and with `outcome_unknown` when the answer
    /// was lost and the record may be there, or may yet come.
    [[nodiscard]] virtual base::result<std::int64_t>
    append(std::string const& stream, std::string const& body) = 0;

    /// Reads from `from` on, at most `most` records; where there are none yet,
    /// waits for one up to `wait`. `from` may lie before `first`: the records
    /// then begin at `first`. Fails with `unavailable`.
    [[nodiscard]] virtual base::result<log_page> read(std::string const& stream,
                                                      std::int64_t from,
                                                      std::int32_t most,
                                                      base::duration wait) = 0;
};

} // namespace berylhill::platform
