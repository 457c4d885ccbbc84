#pragma once

#include <base/time.hpp>
#include <cell/keyed_log.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace berylhill::cell
{

/// How long the store takes at the moment; how long a call is waited for
/// before it is sent again follows from it. Not thread-safe.
class store_latency
{
public:
    void measured(base::duration it);

    /// Until an append is sent again, after so many tries before.
    [[nodiscard]] base::duration patience(std::uint32_t tries) const;

    /// How long an append may take until the store counts as stuck: what waits
    /// for it is then refused, and so is all new work. A store that is merely
    /// slow takes each append in about the same time, and refusing what waits
    /// behind one would refuse nearly all.
    [[nodiscard]] base::duration stuck_limit() const;

private:
    base::duration m_mean{std::chrono::milliseconds{20}};
};

enum class reliable_append_outcome : std::uint8_t
{
    stored,
    /// Another writer's record stands where these should.
    overtaken,
    /// Given up; whether it is stored is not known.
    unknown,
};

/// Appends records at one offset and goes on until it is certain what became
/// of them. An append without an answer is repeated at the same offset while
/// the earlier tries are still listened to: the store takes only one of them,
/// and a store that is merely slow answers the first. Where the log has moved
/// on, the record at the offset shows whose append it was.
///
/// One append at a time. Lives on the event loop.
class reliable_append
{
public:
    using handler = std::function<void(reliable_append_outcome)>;

    reliable_append(boost::asio::io_context& loop,
                    base::clock const& clock,
                    keyed_log& log,
                    store_latency& latency);
    reliable_append(reliable_append const&) = delete;
    reliable_append& operator=(reliable_append const&) = delete;
    ~reliable_append();

    /// Precondition: none is under way; `records` is not empty. `limit` 0:
    /// never given up.
    void begin(std::uint64_t at,
               std::vector<scheduler::record> records,
               base::duration limit,
               handler done);

    [[nodiscard]] bool busy() const noexcept
    {
        return m_busy;
    }

    /// The store has refused the append under way more than once.
    [[nodiscard]] bool refused() const noexcept
    {
        return m_busy && m_refusals > 1;
    }

    /// Takes an append back that is surely not stored: all its tries were
    /// refused, and none is under way. `done` is then never called. Returns
    /// false, and changes nothing, where it may be stored.
    bool take_back();

private:
    /// It has taken longer than it may.
    [[nodiscard]] bool over() const;
    void send();
    void answered(append_result const& it, base::instant sent_at);
    void overdue();
    void repeat(base::instant sent_at);
    void look();
    void looked(read_result const& it);
    [[nodiscard]] bool stands_at(read_result const& it) const;
    void again(base::duration pause, std::function<void()> what);
    void finish(reliable_append_outcome it);

    base::clock const& m_clock;
    keyed_log& m_log;
    store_latency& m_latency;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<std::uint64_t> m_generation{
        std::make_shared<std::uint64_t>(0)};
    std::uint64_t m_at{0};
    std::vector<scheduler::record> m_records;
    base::duration m_limit{0};
    base::instant m_began{};
    std::uint32_t m_tries{0};
    std::uint32_t m_refusals{0};
    /// Looks at what stands at the offset.
    std::uint32_t m_looks{0};
    /// A try had no answer: it may be stored, now or later.
    bool m_maybe_stored{false};
    /// Tries whose answer may still come.
    std::uint32_t m_awaiting{0};
    /// The log is being read for what stands at the offset.
    bool m_looking{false};
    bool m_busy{false};
    handler m_done;
};

} // namespace berylhill::cell
