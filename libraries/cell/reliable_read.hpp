#pragma once

#include <base/time.hpp>
#include <cell/keyed_log.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace berylhill::cell
{

/// Upper limit of the time to the first byte of an answer. A store that takes
/// longer counts as unavailable.
inline constexpr base::duration max_response_delay = std::chrono::seconds{4};

/// A read request. A value.
struct reliable_read_request
{
    std::uint64_t from{0};
    /// How long the store may wait for a first record.
    base::duration wait{0};
    std::size_t max_bytes{0};
    /// Time beyond `wait` after which the read is given up if no answer has
    /// begun.
    base::duration limit{max_response_delay};

    friend bool operator==(reliable_read_request const&,
                           reliable_read_request const&) = default;
};

/// The result of a read. A value.
struct reliable_read_result
{
    read_result result;
    /// A time at which the log was in the state that the result shows.
    base::instant as_of{};
};

/// Reads a log with hedged requests until the store answers or is considered
/// unavailable. A request without an answer is sent again on another connection
/// while answers to earlier ones are still accepted: a silent connection costs
/// one pause, and a slow store or link gets the time that it needs. An answer
/// that has begun may take as long as it makes progress.
///
/// One read at a time. Lives on the event loop.
class reliable_read
{
public:
    using handler = std::function<void(reliable_read_result)>;

    /// `name` is the log's name in log lines; `slack` is added to the time that
    /// the store may wait before a request counts as overdue.
    reliable_read(boost::asio::io_context& loop,
                  base::clock const& clock,
                  keyed_log& log,
                  std::string name,
                  base::duration slack);
    reliable_read(reliable_read const&) = delete;
    reliable_read& operator=(reliable_read const&) = delete;
    ~reliable_read();

    /// Starts a read. Cancels the current read, if any, without calling its
    /// handler.
    void begin(reliable_read_request const& it, handler done);

    /// Cancels the current read, if any; its handler is not called.
    void cancel();

private:
    void send(base::duration wait);
    void check_after(base::duration pause);
    [[nodiscard]] bool answer_begun() const;
    void overdue();
    void answered(read_result it, base::instant asked_at, base::duration wait);
    void finish(read_result it, base::instant as_of);
    void update_slack(base::duration took);

    base::clock const& m_clock;
    keyed_log& m_log;
    std::string m_name;
    base::duration m_min_slack;
    base::duration m_slack;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<std::uint64_t> m_generation{
        std::make_shared<std::uint64_t>(0)};
    reliable_read_request m_request;
    /// When the read is given up.
    base::instant m_until{};
    handler m_done;
    std::uint32_t m_tries{0};
    /// Requests whose answer may still come.
    std::size_t m_awaiting{0};
    std::vector<network::call_handle> m_calls;
};

} // namespace berylhill::cell
