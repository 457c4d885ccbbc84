#include <cell/reliable_append.hpp>

#include <base/log.hpp>
#include <cell/append_limits.hpp>

#include <algorithm>
#include <bit>
#include <utility>

namespace berylhill::cell
{

namespace
{

/// Lower limit of the retry timeout, the least that a lost answer costs; an
/// append usually takes 4 to 6 ms. With two answers in five lost, a scenario
/// day scored 0.598 with 100 ms and 0.640 with this value, mean of 12 runs.
constexpr base::duration min_retry_timeout = std::chrono::milliseconds{40};

/// Upper limit of the retry timeout: a store that was silent is tried again
/// this soon after it recovers.
constexpr base::duration max_retry_timeout = std::chrono::milliseconds{800};

/// Ratio of the retry timeout to the mean latency, which a store seldom
/// exceeds.
constexpr int retry_timeout_factor = 8;

/// Timeout of an attempt; up to seven are awaited at a time. A store whose
/// appends take 240 ms is not silent: when each attempt was abandoned as the
/// next one was sent, it was considered silent and all new work was refused for
/// a second.
constexpr base::duration answer_timeout = std::chrono::milliseconds{2'000};

/// Divisor that gives the weight of the newest measurement in the mean.
constexpr int mean_weight = 8;

/// Pause after a refusal, doubled each time up to the limit: the store counts
/// and bills refused calls.
constexpr base::duration first_pause = std::chrono::milliseconds{40};
constexpr base::duration max_pause = std::chrono::milliseconds{400};

/// Pause between an append without an answer and the next attempt, doubled each
/// time up to the limit; time spent waiting for the answer counts.
constexpr base::duration first_repeat_pause = std::chrono::milliseconds{5};
constexpr base::duration max_repeat_pause = std::chrono::milliseconds{100};

/// Size limit of a read that checks the records at an offset. A larger append
/// takes several of them.
constexpr std::size_t read_back_bytes = std::size_t{1024} * 1024;

/// Time to the first byte of that read, doubled after each timeout up to the
/// limit.
constexpr base::duration read_back_timeout = std::chrono::milliseconds{500};
constexpr base::duration max_read_back_timeout =
    std::chrono::milliseconds{2'000};

/// A read that makes no progress for this long is on a silent connection.
constexpr base::duration read_back_stall_timeout =
    std::chrono::milliseconds{500};

/// Limits of `stuck_limit`: above the time of the first slow append of a store
/// that was fast, and below the timeouts of clients.
constexpr base::duration min_stuck_limit = std::chrono::milliseconds{900};
constexpr base::duration max_stuck_limit = std::chrono::milliseconds{1'600};
constexpr int stuck_factor = 3;

/// Appends that take longer are logged, because whatever waited for them is
/// late.
constexpr base::duration slow_append = std::chrono::milliseconds{200};

std::uint64_t bytes_of(std::vector<scheduler::record> const& records)
{
    std::uint64_t out = 0;
    for (auto const& it : records)
    {
        out += it.key.size() + it.value.size();
    }
    return out;
}

/// Precondition: there are records.
scheduler::record const*
largest_of(std::vector<scheduler::record> const& records)
{
    auto const at = std::ranges::max_element(records, {}, stored_size);
    return &*at;
}

base::duration doubled(base::duration it, std::uint32_t times)
{
    constexpr std::uint32_t max_doublings = 10;
    return it * (1U << std::min(times, max_doublings));
}

} // namespace

void store_latency::measured(base::duration it)
{
    m_mean += (it - m_mean) / mean_weight;
}

base::duration store_latency::retry_timeout(std::uint32_t tries) const
{
    auto const first =
        std::max(min_retry_timeout, m_mean * retry_timeout_factor);
    return std::min(max_retry_timeout, doubled(first, tries));
}

base::duration store_latency::stuck_limit() const
{
    return std::clamp<base::duration>(stuck_factor * m_mean, min_stuck_limit,
                                      max_stuck_limit);
}

reliable_append::reliable_append(boost::asio::io_context& loop,
                                 base::clock const& clock,
                                 keyed_log& log,
                                 store_latency& latency)
    : m_clock{clock}
    , m_log{log}
    , m_latency{latency}
    , m_timer{loop}
{
}

reliable_append::~reliable_append()
{
    ++*m_generation;
}

void reliable_append::begin(std::uint64_t at,
                            std::vector<scheduler::record> records,
                            base::duration limit,
                            handler done)
{
    ++*m_generation;
    m_busy = true;
    m_awaiting = 0;
    m_reading_back = false;
    m_found = 0;
    m_rejected = false;
    m_at = at;
    m_records = std::move(records);
    m_limit = limit;
    m_began = m_clock.now();
    m_tries = 0;
    m_refusals = 0;
    m_read_backs = 0;
    m_maybe_stored = false;
    m_done = std::move(done);
    send();
}

bool reliable_append::take_back()
{
    if (!m_busy || m_awaiting > 0 || m_maybe_stored)
    {
        return false;
    }
    ++*m_generation;
    m_timer.cancel();
    m_busy = false;
    m_records.clear();
    m_done = nullptr;
    return true;
}

bool reliable_append::limit_exceeded() const
{
    return m_limit.count() != 0 && m_clock.now() - m_began > m_limit;
}

void reliable_append::send()
{
    if (limit_exceeded())
    {
        finish(reliable_append_outcome::unknown);
        return;
    }
    auto const sent_at = m_clock.now();
    ++m_awaiting;
    run_after(m_latency.retry_timeout(m_tries), [this] { overdue(); });
    ++m_tries;
    m_log.append(m_at, m_records, answer_timeout,
                 [this, alive = m_generation, mine = *m_generation,
                  sent_at](append_result const& it)
                 {
                     if (*alive == mine)
                     {
                         answered(it, sent_at);
                     }
                 });
}

/// The newest attempt has no answer yet. It may be lost, so the append is sent
/// again.
void reliable_append::overdue()
{
    m_maybe_stored = true;
    if (std::has_single_bit(m_tries))
    {
        base::log(base::log_level::warning, "append_unanswered",
                  {{"at", m_at}, {"tries", m_tries}});
    }
    send();
}

void reliable_append::answered(append_result const& it, base::instant sent_at)
{
    --m_awaiting;
    if (it.outcome != append_outcome::unanswered)
    {
        m_latency.measured(m_clock.now() - sent_at);
    }
    switch (it.outcome)
    {
    case append_outcome::stored:
        m_confirmed_at = sent_at;
        finish(reliable_append_outcome::stored);
        return;
    case append_outcome::conflict:
        m_maybe_stored = true;
        if (it.log_end < m_at)
        {
            // The store's log is not the log that this process knows, so
            // nothing known about it holds.
            finish(reliable_append_outcome::overtaken);
            return;
        }
        if (!std::exchange(m_reading_back, true))
        {
            read_back();
        }
        return;
    case append_outcome::unanswered:
        m_maybe_stored = true;
        if (m_awaiting == 0 && !m_reading_back)
        {
            repeat(sent_at);
        }
        return;
    case append_outcome::rejected:
        rejected(it);
        return;
    case append_outcome::refused:
    case append_outcome::full:
        ++m_refusals;
        if (m_tries == 1 || it.outcome == append_outcome::full)
        {
            base::log(base::log_level::warning, "append_refused",
                      {{"at", m_at},
                       {"full", it.outcome == append_outcome::full ? 1 : 0}});
        }
        if (m_awaiting == 0 && !m_reading_back)
        {
            run_after(std::min(max_pause, doubled(first_pause, m_tries - 1)),
                      [this] { send(); });
        }
        return;
    }
}

/// A rejection is final, so the append is not repeated. If an earlier attempt
/// had no answer, the log shows whether that one is stored.
void reliable_append::rejected(append_result const& it)
{
    auto const* const largest = largest_of(m_records);
    base::log(base::log_level::error, "append_rejected",
              {{"at", m_at},
               {"status", std::uint64_t{it.http_status}},
               {"records", std::uint64_t{m_records.size()}},
               {"bytes", bytes_of(m_records)},
               {"largest_key", largest->key},
               {"largest_bytes", std::uint64_t{stored_size(*largest)}}});
    if (!m_maybe_stored)
    {
        finish(reliable_append_outcome::rejected);
        return;
    }
    m_rejected = true;
    if (!std::exchange(m_reading_back, true))
    {
        read_back();
    }
}

/// Limits the rate of retries: a connection reset takes no time, and a store
/// that resets all connections would get three hundred appends a second.
void reliable_append::repeat(base::instant sent_at)
{
    auto const pause =
        std::min(max_repeat_pause, doubled(first_repeat_pause, m_tries));
    auto const took = m_clock.now() - sent_at;
    run_after(std::max(base::duration{0}, pause - took), [this] { send(); });
}

void reliable_append::read_back()
{
    auto const patience = std::min(max_read_back_timeout,
                                   doubled(read_back_timeout, m_read_backs++));
    m_log.read({m_at + m_found,
                base::duration{0},
                read_back_bytes,
                {patience, read_back_stall_timeout}},
               [this, alive = m_generation, mine = *m_generation,
                sent_at = m_clock.now()](read_result const& it)
               {
                   if (*alive == mine)
                   {
                       read_back_done(it, sent_at);
                   }
               });
}

void reliable_append::read_back_done(read_result const& it,
                                     base::instant sent_at)
{
    if (it.outcome == read_outcome::trimmed)
    {
        // The store has deleted these records: whether they took effect depends
        // on the newest records of their keys, and another writer's claim would
        // be newer.
        finish(reliable_append_outcome::unknown);
        return;
    }
    if (it.outcome != read_outcome::read)
    {
        if (limit_exceeded())
        {
            finish(reliable_append_outcome::unknown);
            return;
        }
        run_after(first_pause, [this] { read_back(); });
        return;
    }
    if (it.entries.empty())
    {
        nothing_found();
        return;
    }
    if (!matches(it.entries))
    {
        finish(reliable_append_outcome::overtaken);
        return;
    }
    m_found += it.entries.size();
    if (m_found >= m_records.size())
    {
        auto const is_last = it.log_end == m_at + m_records.size();
        m_confirmed_at = is_last ? sent_at : m_began;
        finish(reliable_append_outcome::stored);
        return;
    }
    read_back();
}

/// The log ends where the records would continue. Appends are stored as a
/// whole, so the first record is missing too.
void reliable_append::nothing_found()
{
    m_found = 0;
    m_reading_back = false;
    if (m_rejected)
    {
        finish(reliable_append_outcome::rejected_in_doubt);
        return;
    }
    run_after(first_pause, [this] { send(); });
}

/// Whether the records found are the next ones of the append. All are compared,
/// because a batch that was written again may begin like the one before.
bool reliable_append::matches(std::vector<log_entry> const& found) const
{
    auto const n = std::min(found.size(), m_records.size() - m_found);
    for (std::size_t i = 0; i < n; ++i)
    {
        auto const& ours = m_records[m_found + i];
        if (found[i].offset != m_at + m_found + i || found[i].key != ours.key ||
            found[i].value != ours.value)
        {
            return false;
        }
    }
    return true;
}

void reliable_append::run_after(base::duration pause,
                                std::function<void()> task)
{
    m_timer.expires_after(pause);
    m_timer.async_wait(
        [alive = m_generation, mine = *m_generation,
         task = std::move(task)](auto ec)
        {
            if (!ec && *alive == mine)
            {
                task();
            }
        });
}

void reliable_append::finish(reliable_append_outcome it)
{
    auto const took = m_clock.now() - m_began;
    if (took > slow_append)
    {
        base::log(base::log_level::info, "append_slow",
                  {{"at", m_at},
                   {"records", std::uint64_t{m_records.size()}},
                   {"bytes", bytes_of(m_records)},
                   {"tries", m_tries},
                   {"stored", it == reliable_append_outcome::stored ? 1 : 0},
                   {"took_s", base::seconds_of(took)}});
    }
    // Answers to other attempts are ignored.
    ++*m_generation;
    m_timer.cancel();
    m_busy = false;
    m_records.clear();
    auto const done = std::exchange(m_done, nullptr);
    done(it);
}

} // namespace berylhill::cell
