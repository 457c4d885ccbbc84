#pragma once

#include <base/time.hpp>
#include <network/http_client.hpp>
#include <scheduler/record.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace berylhill::cell
{

/// A record of a keyed log and its offset; an empty value deletes the key.
struct log_entry
{
    std::uint64_t offset{0};
    std::string key;
    std::string value;

    friend bool operator==(log_entry const&, log_entry const&) = default;
};

enum class append_outcome : std::uint8_t
{
    stored,
    /// The log does not end at the given offset.
    conflict,
    /// The store answered that it did nothing.
    refused,
    /// The store is full.
    full,
    /// The store answered that it will never take these records.
    rejected,
    /// No answer, or a refusal of a request that was sent twice: the records
    /// may be stored, now or later.
    unanswered,
};

struct append_result
{
    append_outcome outcome{append_outcome::unanswered};
    /// Offset of the first record, if stored.
    std::uint64_t offset{0};
    /// End offset of the log, if known.
    std::uint64_t log_end{0};
    /// HTTP status of the answer, for logs; 0: no answer.
    unsigned http_status{0};

    friend bool operator==(append_result const&,
                           append_result const&) = default;
};

enum class read_outcome : std::uint8_t
{
    read,
    /// The records at the offset have been deleted.
    trimmed,
    /// Nothing was read.
    failed,
    /// The request was sent, but no complete answer came in time.
    unanswered,
};

/// A read request. A value.
struct read_request
{
    /// The first offset.
    std::uint64_t from{0};
    /// How long the store may wait for a first record.
    base::duration wait{0};
    /// Size limit of the answer; a single larger record is returned alone.
    std::size_t max_bytes{0};
    /// Timeouts of the call.
    network::call_patience timeouts{base::duration{0}};

    friend bool operator==(read_request const&, read_request const&) = default;
};

struct read_result
{
    read_outcome outcome{read_outcome::failed};
    std::uint64_t log_end{0};
    std::vector<log_entry> entries;
    /// HTTP status of the answer, for logs; 0: no answer.
    unsigned http_status{0};
    /// Bytes received of an incomplete answer.
    std::uint64_t bytes_received{0};

    friend bool operator==(read_result const&, read_result const&) = default;
};

struct newest_result
{
    bool answered{false};
    std::uint64_t log_end{0};
    /// There are more keys after the last one.
    bool truncated{false};
    std::vector<log_entry> entries;
    /// Bytes received of an incomplete answer.
    std::uint64_t bytes_received{0};

    friend bool operator==(newest_result const&,
                           newest_result const&) = default;
};

using append_handler = std::function<void(append_result const&)>;
using read_handler = std::function<void(read_result)>;
using newest_handler = std::function<void(newest_result)>;

/// A log of the platform's store that keeps the newest record of each key. Each
/// handler is called once, on the event loop, when the timeout expires at the
/// latest and never from within the call.
class keyed_log
{
public:
    keyed_log() = default;
    keyed_log(keyed_log const&) = delete;
    keyed_log& operator=(keyed_log const&) = delete;
    virtual ~keyed_log() = default;

    /// Appends all records or none, and only if the log ends at `at`.
    virtual void append(std::uint64_t at,
                        std::vector<scheduler::record> const& records,
                        base::duration timeout,
                        append_handler handler) = 0;

    virtual network::call_handle read(read_request const& it,
                                      read_handler handler) = 0;

    /// Reads one page of the newest records: those of the keys after `after`.
    virtual void read_newest(std::string const& after,
                             network::call_patience const& patience,
                             newest_handler handler) = 0;
};

} // namespace berylhill::cell
