#include <stream/writer_state.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace berylhill::stream
{

namespace
{

constexpr std::int32_t s_read_back_records = 256;

} // namespace

writer_state::writer_state(writer_options options)
    : m_options{std::move(options)}
{
}

std::optional<base::failure>
writer_state::submit(std::uint64_t ticket, std::string text, base::instant now)
{
    if (m_down)
    {
        return base::failure{base::failure_code::unavailable,
                             "the platform's log is down", retry_after_s(now)};
    }
    auto const full =
        m_queue.size() >= m_options.most_pending ||
        m_queued_bytes + text.size() > m_options.most_pending_bytes;
    if (full)
    {
        return base::failure{base::failure_code::refused,
                             "too much waits for the platform's log",
                             retry_after_s(now)};
    }
    m_queued_bytes += text.size();
    m_queue.push_back({ticket, std::move(text)});
    return std::nullopt;
}

writer_step writer_state::next(base::instant now)
{
    if (now < m_next_try)
    {
        return wait_until{m_next_try};
    }
    if (m_phase == phase::unresolved)
    {
        return read_back{m_scanned, s_read_back_records};
    }
    if (m_phase == phase::fencing)
    {
        m_sent_at = now;
        return append_record{fence()};
    }
    if (m_queue.empty() && !m_down)
    {
        return wait_until{};
    }
    if (!m_known_next)
    {
        return read_back{0, 1};
    }
    if (m_down)
    {
        m_phase = phase::appending;
        m_sent_at = now;
        return append_record{fence()};
    }
    return next_batch(now);
}

writer_step writer_state::next_batch(base::instant now)
{
    if (now < m_next_append)
    {
        return wait_until{m_next_append};
    }
    std::vector<std::string> texts;
    std::size_t bytes = 0;
    while (!m_queue.empty() && texts.size() < m_options.most_batch)
    {
        auto& it = m_queue.front();
        if (!texts.empty() &&
            bytes + it.text.size() > m_options.most_batch_bytes)
        {
            break;
        }
        bytes += it.text.size();
        texts.push_back(it.text);
        m_sent.push_back(std::move(it));
        m_queue.pop_front();
    }
    m_queued_bytes -= bytes;
    m_phase = phase::appending;
    m_sent_at = now;
    m_sent_sequence = ++m_sequence;
    m_next_append = now + interval();
    ++m_appends;
    return append_record{body_of(m_options.writer, m_sent_sequence, texts)};
}

std::string writer_state::fence()
{
    ++m_appends;
    return body_of(m_options.writer, ++m_sequence, {});
}

std::vector<settled>
writer_state::appended(base::outcome<std::int64_t> const& answer,
                       base::instant now)
{
    m_append_time = now - m_sent_at;
    if (answer.has_value())
    {
        auto const was_fencing = m_phase == phase::fencing;
        succeeded(now);
        if (was_fencing)
        {
            m_phase = phase::unresolved;
            return {};
        }
        return committed(answer.value());
    }
    if (answer.error().code == base::failure_code::unavailable)
    {
        if (m_phase == phase::appending)
        {
            requeue();
        }
        return failed(now, answer.error().message);
    }
    ++m_lost_answers;
    if (m_phase == phase::fencing || !m_sent.empty())
    {
        m_scanned = m_phase == phase::fencing ? m_scanned : *m_known_next;
        m_phase = phase::unresolved;
    }
    else
    {
        m_phase = phase::ready;
    }
    return failed(now, answer.error().message);
}

std::vector<settled>
writer_state::read(base::outcome<platform::log_page> const& answer,
                   base::instant now)
{
    if (!answer.has_value())
    {
        return failed(now, answer.error().message);
    }
    auto const& page = answer.value();
    if (m_phase != phase::unresolved)
    {
        m_known_next = page.next;
        return {};
    }
    return scan(page, now);
}

std::vector<settled> writer_state::scan(platform::log_page const& page,
                                        base::instant now)
{
    if (page.first > m_scanned)
    {
        // Retention has dropped what would have told; only then does an entry
        // end as unknown.
        std::vector<settled> ended;
        for (auto const& it : m_sent)
        {
            ended.push_back(
                {it.ticket, base::failure{base::failure_code::outcome_unknown,
                                          "the log dropped the record", 0}});
        }
        m_sent.clear();
        m_known_next = page.next;
        m_phase = phase::ready;
        return ended;
    }
    for (auto const& record : page.records)
    {
        m_scanned = record.offset + 1;
        auto const it = base::capture([&] { return batch_from(record.body); });
        if (!it.has_value() || it.value().writer != m_options.writer)
        {
            continue;
        }
        if (it.value().sequence == m_sent_sequence)
        {
            succeeded(now);
            return committed(record.offset);
        }
        if (it.value().sequence > m_sent_sequence)
        {
            m_known_next = m_scanned;
            requeue();
            return {};
        }
    }
    if (m_scanned >= page.next)
    {
        m_phase = phase::fencing;
    }
    return {};
}

std::vector<settled> writer_state::committed(std::int64_t offset)
{
    std::vector<settled> ended;
    ended.reserve(m_sent.size());
    std::int32_t index = 0;
    for (auto const& it : m_sent)
    {
        ended.push_back({it.ticket, position{offset, index}});
        ++index;
    }
    m_sent.clear();
    m_known_next = offset + 1;
    m_phase = phase::ready;
    return ended;
}

std::vector<settled> writer_state::failed(base::instant now,
                                          std::string const& why)
{
    if (!m_failing_since)
    {
        m_failing_since = now;
    }
    m_retry =
        std::clamp(2 * m_retry, m_options.first_retry, m_options.longest_retry);
    m_next_try = now + m_retry;
    if (now - *m_failing_since < m_options.patience)
    {
        return {};
    }
    m_down = true;
    std::vector<settled> ended;
    for (auto const& it : m_queue)
    {
        ended.push_back(
            {it.ticket,
             base::failure{base::failure_code::unavailable,
                           "not written: " + why, retry_after_s(now)}});
    }
    m_queue.clear();
    m_queued_bytes = 0;
    return ended;
}

void writer_state::succeeded(base::instant)
{
    m_failing_since.reset();
    m_retry = {};
    m_next_try = {};
    m_down = false;
}

void writer_state::requeue()
{
    for (auto it = m_sent.rbegin(); it != m_sent.rend(); ++it)
    {
        m_queued_bytes += it->text.size();
        m_queue.push_front(std::move(*it));
    }
    m_sent.clear();
    m_phase = phase::ready;
}

std::vector<settled> writer_state::abandon()
{
    std::vector<settled> ended;
    for (auto const& it : m_queue)
    {
        ended.push_back(
            {it.ticket, base::failure{base::failure_code::unavailable,
                                      "not written: this instance stops", 0}});
    }
    for (auto const& it : m_sent)
    {
        ended.push_back(
            {it.ticket, base::failure{base::failure_code::outcome_unknown,
                                      "this instance stops", 0}});
    }
    m_queue.clear();
    m_sent.clear();
    m_queued_bytes = 0;
    return ended;
}

base::duration writer_state::interval() const
{
    return base::from_seconds(1 / m_options.appends_per_s);
}

double writer_state::retry_after_s(base::instant now) const
{
    if (m_down)
    {
        auto const probe = std::max(m_next_try - now, base::duration{});
        return base::seconds_of(probe + m_options.longest_retry);
    }
    auto const batches = 1 + m_queue.size() / m_options.most_batch;
    return static_cast<double>(batches) *
           base::seconds_of(std::max(interval(), m_append_time));
}

} // namespace berylhill::stream
