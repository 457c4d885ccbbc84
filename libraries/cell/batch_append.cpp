#include <cell/batch_append.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace berylhill::cell
{

namespace
{

std::size_t size_of(std::vector<scheduler::record> const& records)
{
    std::size_t out = 0;
    for (auto const& it : records)
    {
        out += size_in_call(it);
    }
    return out;
}

} // namespace

batch_append::batch_append(boost::asio::io_context& loop,
                           base::clock const& clock,
                           keyed_log& log,
                           store_latency& latency,
                           append_limits limits)
    : m_limits{limits}
    , m_append{loop, clock, log, latency}
{
}

void batch_append::begin(std::uint64_t at,
                         std::vector<scheduler::record> records,
                         handler done)
{
    m_busy = true;
    m_outcome = {reliable_append_outcome::stored, at, {}, std::nullopt};
    m_begun.clear();
    m_rejected.clear();
    m_anything_stored = false;
    m_in_doubt = false;
    m_done = std::move(done);
    m_calls.clear();
    add_calls(by_job(std::move(records)));
    append_next();
}

bool batch_append::take_back()
{
    if (!m_busy || m_anything_stored || !m_rejected.empty() ||
        !m_append.take_back())
    {
        return false;
    }
    m_busy = false;
    m_calls.clear();
    m_done = nullptr;
    return true;
}

std::vector<batch_append::job_records>
batch_append::by_job(std::vector<scheduler::record> records)
{
    std::vector<job_records> out;
    for (auto& it : records)
    {
        auto const job = scheduler::parse_record_key(it.key).job;
        if (out.empty() || out.back().job != job)
        {
            out.push_back({job, {}});
        }
        out.back().records.push_back(std::move(it));
    }
    return out;
}

/// The records of a job go into one call, which stores all or none of them,
/// unless they are too large for that.
void batch_append::add_calls(std::vector<job_records> const& all)
{
    std::size_t bytes = 0;
    for (auto const& it : all)
    {
        auto const size = size_of(it.records);
        if (size > m_limits.call_bytes)
        {
            add_large(it);
            bytes = m_limits.call_bytes;
            continue;
        }
        if (m_calls.empty() || bytes + size > m_limits.call_bytes)
        {
            m_calls.emplace_back();
            bytes = 0;
        }
        m_calls.back().push_back(it);
        bytes += size;
    }
}

void batch_append::add_large(job_records const& it)
{
    std::size_t bytes = m_limits.call_bytes;
    for (auto const& record : it.records)
    {
        auto const size = size_in_call(record);
        if (bytes + size > m_limits.call_bytes)
        {
            m_calls.push_back({{it.job, {}}});
            bytes = 0;
        }
        m_calls.back().back().records.push_back(record);
        bytes += size;
    }
}

void batch_append::append_next()
{
    while (!m_calls.empty())
    {
        std::erase_if(m_calls.front(), [this](job_records const& it)
                      { return m_rejected.contains(it.job); });
        if (!m_calls.front().empty())
        {
            break;
        }
        m_calls.pop_front();
    }
    if (m_calls.empty())
    {
        finish(reliable_append_outcome::stored);
        return;
    }
    std::vector<scheduler::record> records;
    for (auto const& it : m_calls.front())
    {
        std::ranges::copy(it.records, std::back_inserter(records));
    }
    auto const n = records.size();
    m_append.begin(m_outcome.next, std::move(records), base::duration{0},
                   [this, n](reliable_append_outcome it) { ended(it, n); });
}

void batch_append::ended(reliable_append_outcome it, std::size_t records)
{
    switch (it)
    {
    case reliable_append_outcome::stored:
        stored(records);
        return;
    case reliable_append_outcome::rejected_in_doubt:
        m_in_doubt = true;
        rejected();
        return;
    case reliable_append_outcome::rejected:
        rejected();
        return;
    case reliable_append_outcome::overtaken:
    case reliable_append_outcome::unknown:
        finish(it);
        return;
    }
}

void batch_append::stored(std::size_t records)
{
    m_outcome.next += records;
    m_outcome.confirmed_at = m_append.confirmed_at();
    m_anything_stored = true;
    m_in_doubt = false;
    for (auto const& it : m_calls.front())
    {
        m_begun.insert(it.job);
    }
    m_calls.pop_front();
    append_next();
}

/// Each half is appended by itself until the rejected job stands alone.
void batch_append::rejected()
{
    auto all = std::move(m_calls.front());
    m_calls.pop_front();
    if (all.size() == 1)
    {
        auto const job = all.front().job;
        m_rejected.insert(job);
        m_outcome.rejected.push_back(
            {job, m_begun.contains(job)
                      ? scheduler::rejected_records::may_be_stored
                      : scheduler::rejected_records::not_stored});
        append_next();
        return;
    }
    auto const middle = all.begin() + std::ssize(all) / 2;
    m_calls.emplace_front(std::make_move_iterator(middle),
                          std::make_move_iterator(all.end()));
    all.erase(middle, all.end());
    m_calls.push_front(std::move(all));
    append_next();
}

void batch_append::finish(reliable_append_outcome it)
{
    if (m_in_doubt)
    {
        for (auto& each : m_outcome.rejected)
        {
            each.records = scheduler::rejected_records::may_be_stored;
        }
    }
    m_outcome.end = it;
    m_busy = false;
    m_calls.clear();
    auto const done = std::exchange(m_done, nullptr);
    done(m_outcome);
}

} // namespace berylhill::cell
