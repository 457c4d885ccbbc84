#include <cell/log_follower.hpp>

#include <base/log.hpp>

#include <algorithm>
#include <bit>
#include <utility>

namespace berylhill::cell
{

namespace
{

/// Time to the first byte of a page of the newest records, doubled after each
/// timeout up to the limit. A silent connection costs only the first timeout.
constexpr base::duration page_timeout = std::chrono::milliseconds{1'000};
constexpr base::duration max_page_timeout = std::chrono::milliseconds{4'000};

/// A page that makes no progress for this long is on a silent connection.
constexpr base::duration page_stall_timeout = std::chrono::seconds{1};

/// Time to the first byte of an answer while catching up, doubled after each
/// timeout.
constexpr base::duration min_catch_up_limit = std::chrono::milliseconds{400};

/// If an answer was in transit for longer than this, the next read does not
/// wait at the store: until it returns, it is unknown whether the records are
/// the newest.
constexpr base::duration max_as_of_age = std::chrono::milliseconds{500};

/// Largest size limit of a read. A larger record is read with the newest
/// records.
constexpr std::size_t max_read_bytes = std::size_t{4} * 1024 * 1024;

} // namespace

log_follower::log_follower(boost::asio::io_context& loop,
                           base::clock const& clock,
                           keyed_log& log,
                           std::string name,
                           follow_options pace)
    : m_loop{loop}
    , m_clock{clock}
    , m_log{log}
    , m_name{std::move(name)}
    , m_options{pace}
    , m_timer{loop}
    , m_read{loop, clock, log, m_name, pace.slack}
    , m_max_bytes{pace.max_bytes}
    , m_page_timeout{page_timeout}
    , m_catch_up_limit{min_catch_up_limit}
{
}

log_follower::~log_follower()
{
    ++*m_generation;
}

void log_follower::start()
{
    ++*m_generation;
    m_timer.cancel();
    m_read.cancel();
    m_running = true;
    m_ready = false;
    m_first_page = true;
    m_pages.clear();
    read_newest({});
}

void log_follower::start_at(std::uint64_t offset)
{
    ++*m_generation;
    m_timer.cancel();
    m_read.cancel();
    m_running = true;
    m_ready = true;
    m_pages.clear();
    m_next = offset;
    m_max_bytes = m_options.max_bytes;
    read_tail(base::duration{0});
}

void log_follower::stop()
{
    ++*m_generation;
    m_timer.cancel();
    m_read.cancel();
    m_running = false;
    m_ready = false;
    m_known.clear();
    m_pages.clear();
    m_catching_up = nullptr;
}

void log_follower::catch_up(std::function<void(bool)> done)
{
    if (!m_running || !m_ready)
    {
        done(false);
        return;
    }
    ++*m_generation;
    m_timer.cancel();
    m_catching_up = std::move(done);
    read_tail(base::duration{0}, m_catch_up_limit);
}

void log_follower::read_newest(std::string const& after)
{
    m_asked_at = m_clock.now();
    m_log.read_newest(after, {m_page_timeout, page_stall_timeout},
                      [this, after, alive = m_generation,
                       mine = *m_generation](newest_result it)
                      {
                          if (*alive == mine)
                          {
                              newest_read(after, std::move(it));
                          }
                      });
}

/// A lost page is read again by itself: a reading that starts over never ends
/// on a link that loses one page in each.
void log_follower::newest_read(std::string const& after, newest_result it)
{
    if (!it.answered)
    {
        failed("newest", 0, it.bytes_received);
        m_page_timeout = std::min(2 * m_page_timeout, max_page_timeout);
        run_after(m_options.retry, [this, after] { read_newest(after); });
        return;
    }
    m_last_progress = m_clock.now();
    if (m_first_page)
    {
        // The log may grow while pages are read one after the other; regular
        // reads start from here.
        m_first_page = false;
        m_pages_from = it.log_end;
    }
    m_write_times.log_ended(it.log_end, m_asked_at);
    auto const last =
        it.entries.empty() ? std::string{} : it.entries.back().key;
    for (auto& entry : it.entries)
    {
        auto key = entry.key;
        m_pages.insert_or_assign(std::move(key), std::move(entry));
    }
    if (it.truncated && !last.empty())
    {
        read_newest(last);
        return;
    }
    finish_newest();
}

void log_follower::finish_newest()
{
    auto const gone = std::exchange(m_known, {});
    for (auto const& key : gone)
    {
        if (!m_pages.contains(key) && m_on_change)
        {
            m_on_change(key, {}, std::nullopt);
        }
    }
    for (auto const& [key, entry] : std::exchange(m_pages, {}))
    {
        apply(entry);
    }
    m_next = m_pages_from;
    m_ready = true;
    m_page_timeout = page_timeout;
    succeeded();
    read_tail(base::duration{0});
}

void log_follower::read_tail(base::duration wait, base::duration limit)
{
    m_asked_at = m_clock.now();
    m_read.begin({m_next, wait, m_max_bytes, limit},
                 [this](reliable_read_result it) { tail_read(std::move(it)); });
}

void log_follower::skip_to(std::uint64_t offset)
{
    if (!m_running || !m_ready || m_catching_up || offset <= m_next)
    {
        return;
    }
    ++*m_generation;
    m_timer.cancel();
    m_next = offset;
    m_max_bytes = m_options.max_bytes;
    read_tail(m_options.wait);
}

void log_follower::tail_read(reliable_read_result it)
{
    auto done = std::exchange(m_catching_up, nullptr);
    auto& result = it.result;
    if (result.outcome == read_outcome::trimmed)
    {
        base::log(base::log_level::info, "log_trimmed",
                  {{"log", m_name}, {"next", m_next}});
        start();
        if (done)
        {
            done(false);
        }
        return;
    }
    if (result.outcome != read_outcome::read)
    {
        failed("read", result.http_status, result.bytes_received);
        run_after(m_options.retry, [this] { read_tail(m_options.wait); });
        if (done)
        {
            m_catch_up_limit =
                std::min(2 * m_catch_up_limit, max_response_delay);
            done(false);
        }
        return;
    }
    m_catch_up_limit = min_catch_up_limit;
    auto const before = m_next;
    for (auto const& entry : result.entries)
    {
        if (entry.offset >= m_next)
        {
            apply(entry);
            m_next = entry.offset + 1;
        }
    }
    m_write_times.log_ended(result.log_end, it.as_of);
    auto const behind = m_next < result.log_end;
    auto const generation = *m_generation;
    succeeded();
    if (!behind)
    {
        end_reached(it.as_of);
    }
    if (*m_generation != generation || !m_running)
    {
        if (done)
        {
            done(!behind);
        }
        return;
    }
    if (behind && m_next == before)
    {
        m_catching_up = std::move(done);
        read_larger();
        return;
    }
    m_max_bytes = m_options.max_bytes;
    if (behind && done)
    {
        m_catching_up = std::move(done);
        read_tail(base::duration{0}, m_catch_up_limit);
        return;
    }
    auto const stale = m_clock.now() - it.as_of > max_as_of_age;
    auto const wait = behind || stale ? base::duration{0} : m_options.wait;
    auto const pause = behind ? base::duration{0} : m_options.pause;
    run_after(pause, [this, wait] { read_tail(wait); });
    if (done)
    {
        done(!behind);
    }
}

/// The log has more records, but the read returned none: the next record is
/// larger than the size limit.
void log_follower::read_larger()
{
    if (m_max_bytes >= max_read_bytes)
    {
        m_max_bytes = m_options.max_bytes;
        auto const done = std::exchange(m_catching_up, nullptr);
        run_after(m_options.retry, [this] { start(); });
        if (done)
        {
            done(false);
        }
        return;
    }
    m_max_bytes *= 2;
    read_tail(base::duration{0});
}

void log_follower::end_reached(base::instant as_of)
{
    if (m_on_end_reached)
    {
        m_on_end_reached(as_of);
    }
}

void log_follower::run_after(base::duration pause, std::function<void()> task)
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

/// Logs the first, second, fourth etc. consecutive failure, so that a long
/// outage is reported repeatedly in few lines.
void log_follower::failed(char const* operation,
                          unsigned status,
                          std::uint64_t received)
{
    if (std::has_single_bit(++m_failures))
    {
        base::log(base::log_level::warning, "log_lost",
                  {{"log", m_name},
                   {"call", operation},
                   {"status", std::uint64_t{status}},
                   {"next", m_next},
                   {"failures", m_failures},
                   {"received", received},
                   {"waited_s", base::seconds_of(m_clock.now() - m_asked_at)}});
    }
}

void log_follower::succeeded()
{
    m_last_progress = m_clock.now();
    if (auto const failures = std::exchange(m_failures, 0); failures > 0)
    {
        base::log(base::log_level::info, "log_regained",
                  {{"log", m_name}, {"next", m_next}, {"failures", failures}});
    }
    if (m_on_caught_up)
    {
        m_on_caught_up();
    }
}

void log_follower::apply(log_entry const& it)
{
    if (it.value.empty())
    {
        m_known.erase(it.key);
    }
    else
    {
        m_known.insert(it.key);
    }
    if (m_on_change)
    {
        m_on_change(it.key, it.value, m_write_times.written_after(it.offset));
    }
}

} // namespace berylhill::cell
