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

/// How long an answer to one question is listened for, at most, until it
/// begins. A store that takes longer is away.
inline constexpr base::duration max_response_delay = std::chrono::seconds{4};

/// What is to be read. A value.
struct reliable_read_request
{
    std::uint64_t from{0};
    /// How long the store may wait for a first record.
    base::duration wait{0};
    std::size_t most_bytes{0};
    /// Beyond `wait`, until the read is given up if no answer has begun.
    base::duration limit{max_response_delay};

    friend bool operator==(reliable_read_request const&,
                           reliable_read_request const&) = default;
};

/// What a read of a log brought. A value.
struct reliable_read_result
{
    read_result result;
    /// When the log was surely as the result says, at the earliest.
    base::instant as_of{};
};

/// Reads a log until the store has answered or has said that it does not. A
/// question without an answer is put once more on another connection while the
/// earlier ones are still listened to: a silent connection costs one pause, and
/// a store or a link that is merely slow gets the time that it needs. Once an
/// answer has begun, it may take as long as it keeps coming.
///
/// One read at a time. Lives on the event loop.
class reliable_read
{
public:
    using handler = std::function<void(reliable_read_result)>;

    /// `name` is the log's, for our logs; `slack` is added to the time that the
    /// store may wait before a question counts as overdue.
    reliable_read(boost::asio::io_context& loop,
                  base::clock const& clock,
                  keyed_log& log,
                  std::string name,
                  base::duration slack);
    reliable_read(reliable_read const&) = delete;
    reliable_read& operator=(reliable_read const&) = delete;
    ~reliable_read();

    /// Ends the read under way, if there is one, without a word to its handler.
    void begin(reliable_read_request const& it, handler done);

    /// Ends the read under way, if there is one; its handler is not called.
    void cancel();

private:
    void ask(base::duration wait);
    void look_after(base::duration pause);
    [[nodiscard]] bool answer_comes() const;
    void overdue();
    void answered(read_result it, base::instant asked_at, base::duration wait);
    void finish(read_result it, base::instant as_of);
    void learn(base::duration took);

    base::clock const& m_clock;
    keyed_log& m_log;
    std::string m_name;
    base::duration m_least_slack;
    base::duration m_slack;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<std::uint64_t> m_generation{
        std::make_shared<std::uint64_t>(0)};
    reliable_read_request m_goal;
    /// When it is given up.
    base::instant m_until{};
    handler m_done;
    std::uint32_t m_tries{0};
    /// Questions whose answer may still come.
    std::size_t m_awaiting{0};
    std::vector<network::call_handle> m_questions;
};

} // namespace berylhill::cell
