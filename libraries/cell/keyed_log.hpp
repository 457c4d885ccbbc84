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

/// A record of a keyed log with its offset; an empty value drops the key.
struct log_entry
{
    std::uint64_t offset{0};
    std::string key;
    std::string value;

    friend bool operator==(log_entry const&, log_entry const&) = default;
};

enum class append_end : std::uint8_t
{
    stored,
    /// The log does not end where the caller said.
    conflict,
    /// The store says that nothing was done.
    refused,
    /// The store is full.
    full,
    /// It may be stored, now or later.
    unanswered,
};

struct append_result
{
    append_end outcome{append_end::unanswered};
    /// Of the first record, where it is stored.
    std::uint64_t offset{0};
    /// Where the log ends, where that is known.
    std::uint64_t log_end{0};

    friend bool operator==(append_result const&,
                           append_result const&) = default;
};

enum class read_end : std::uint8_t
{
    read,
    /// Records from there on have been deleted.
    trimmed,
    /// Nothing was read.
    failed,
    /// The store took the question, and no whole answer came in time.
    unanswered,
};

/// What is read of a log. A value.
struct read_question
{
    /// The first offset.
    std::uint64_t from{0};
    /// How long the store may wait for a first record.
    base::duration wait{0};
    /// How much an answer may hold; a single larger record comes alone.
    std::size_t max_bytes{0};
    /// Until the call is given up.
    network::call_patience timeouts{base::duration{0}};

    friend bool operator==(read_question const&,
                           read_question const&) = default;
};

struct read_result
{
    read_end outcome{read_end::failed};
    std::uint64_t log_end{0};
    std::vector<log_entry> entries;
    /// Of the answer, for logs; 0: there was none.
    unsigned http_status{0};
    /// Of an answer that did not come whole: its bytes that came.
    std::uint64_t bytes_received{0};

    friend bool operator==(read_result const&, read_result const&) = default;
};

struct newest_result
{
    bool answered{false};
    std::uint64_t log_end{0};
    /// More follow after the last key.
    bool truncated{false};
    std::vector<log_entry> entries;
    /// Of an answer that did not come whole: its bytes that came.
    std::uint64_t bytes_received{0};

    friend bool operator==(newest_result const&,
                           newest_result const&) = default;
};

using append_handler = std::function<void(append_result const&)>;
using read_handler = std::function<void(read_result)>;
using newest_handler = std::function<void(newest_result)>;

/// One log of the platform's store that keeps the newest record of each key.
/// Handlers are called once each, on the event loop, when the patience is over
/// at the latest and never from within the call.
class keyed_log
{
public:
    keyed_log() = default;
    keyed_log(keyed_log const&) = delete;
    keyed_log& operator=(keyed_log const&) = delete;
    virtual ~keyed_log() = default;

    /// Appends all records or none, only where the log ends at `at`.
    virtual void append(std::uint64_t at,
                        std::vector<scheduler::record> const& records,
                        base::duration timeout,
                        append_handler handler) = 0;

    virtual network::call_handle read(read_question const& it,
                                      read_handler handler) = 0;

    /// The newest record of each key after `after`; a part of them.
    virtual void read_newest(std::string const& after,
                             network::call_patience const& patience,
                             newest_handler handler) = 0;
};

} // namespace berylhill::cell
