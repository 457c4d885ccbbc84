#include <stream/log_writer.hpp>

#include <base/log.hpp>
#include <model/json.hpp>

#include <algorithm>
#include <utility>

namespace berylhill::stream
{

namespace
{

constexpr base::duration s_longest_step = std::chrono::milliseconds{100};
constexpr double s_retry_elsewhere_s = 1;

} // namespace

log_writer::log_writer(platform::log_service& log,
                       base::clock const& clock,
                       std::string stream,
                       writer_options options)
    : m_log{log}
    , m_clock{clock}
    , m_stream{std::move(stream)}
    , m_state{std::move(options)}
{
}

void log_writer::append(Json::Value const& entry, callback done)
{
    auto const refusal = enqueue(model::text_of(entry), done);
    if (refusal)
    {
        done(*refusal);
        return;
    }
    m_work.notify_one();
}

std::optional<base::failure> log_writer::enqueue(std::string text,
                                                 callback const& done)
{
    std::unique_lock const lock{m_mutex};
    if (m_stopping)
    {
        return base::failure{base::failure_code::unavailable,
                             "this instance stops", s_retry_elsewhere_s};
    }
    auto const ticket = ++m_last_ticket;
    auto refusal = m_state.submit(ticket, std::move(text), m_clock.now());
    if (!refusal)
    {
        m_callbacks.emplace(ticket, done);
    }
    return refusal;
}

void log_writer::run(std::stop_token const& stop, base::duration drain)
{
    while (!stop.stop_requested())
    {
        step(s_longest_step);
    }
    {
        std::unique_lock const lock{m_mutex};
        m_stopping = true;
    }
    auto const deadline = m_clock.now() + drain;
    while (pending() != 0 && m_clock.now() < deadline)
    {
        step(s_longest_step);
    }
    std::unique_lock lock{m_mutex};
    settle(m_state.abandon(), lock);
}

void log_writer::step(base::duration longest)
{
    std::unique_lock lock{m_mutex};
    auto const was_down = m_state.down();
    auto const todo = m_state.next(m_clock.now());
    if (auto const* it = std::get_if<wait_until>(&todo))
    {
        wait_for_work(*it, longest, lock);
        return;
    }
    auto const ended = ask_log(todo, lock);
    auto const is_down = m_state.down();
    settle(ended, lock);
    if (was_down != is_down)
    {
        base::log(is_down ? base::log_level::warning : base::log_level::info,
                  is_down ? "log_down" : "log_up", {{"stream", m_stream}});
    }
}

std::vector<settled> log_writer::ask_log(writer_step const& todo,
                                         std::unique_lock<std::mutex>& lock)
{
    lock.unlock();
    if (auto const* it = std::get_if<append_record>(&todo))
    {
        auto const answer =
            base::capture([&] { return m_log.append(m_stream, it->body); });
        lock.lock();
        return m_state.appended(answer, m_clock.now());
    }
    auto const& back = std::get<read_back>(todo);
    auto const answer = base::capture(
        [&] { return m_log.read(m_stream, back.from, back.most, {}); });
    lock.lock();
    return m_state.read(answer, m_clock.now());
}

void log_writer::settle(std::vector<settled> const& ended,
                        std::unique_lock<std::mutex>& lock)
{
    std::vector<std::pair<callback, base::outcome<position>>> calls;
    for (auto const& it : ended)
    {
        auto const found = m_callbacks.find(it.ticket);
        if (found == m_callbacks.end())
        {
            continue;
        }
        calls.emplace_back(std::move(found->second), it.result);
        m_callbacks.erase(found);
    }
    lock.unlock();
    for (auto const& [call, result] : calls)
    {
        call(result);
    }
}

void log_writer::wait_for_work(wait_until const& until,
                               base::duration longest,
                               std::unique_lock<std::mutex>& lock)
{
    auto wait = longest;
    if (until.at)
    {
        wait = std::min(wait, *until.at - m_clock.now());
    }
    if (wait > base::duration{})
    {
        m_work.wait_for(lock, wait);
    }
}

bool log_writer::down() const
{
    std::unique_lock const lock{m_mutex};
    return m_state.down();
}

std::size_t log_writer::pending() const
{
    std::unique_lock const lock{m_mutex};
    return m_state.pending();
}

std::uint64_t log_writer::appends() const
{
    std::unique_lock const lock{m_mutex};
    return m_state.appends();
}

} // namespace berylhill::stream
