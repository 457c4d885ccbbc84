#include <stream/log_reader.hpp>

#include <base/log.hpp>

#include <utility>

namespace berylhill::stream
{

namespace
{

constexpr std::int32_t s_records_a_read = 256;

} // namespace

log_reader::log_reader(platform::log_service& log,
                       base::clock const& clock,
                       std::string stream,
                       std::int64_t from)
    : m_log{log}
    , m_clock{clock}
    , m_stream{std::move(stream)}
    , m_next{from}
{
}

base::result<reader_page> log_reader::poll(base::duration wait)
{
    auto const before = m_clock.now();
    BOOST_LEAF_AUTO(page, m_log.read(m_stream, m_next, s_records_a_read, wait));
    if (page.next < m_next)
    {
        // Guards against an old replica of the log answering, which would show
        // an owner that it still owns what it has lost: not the stream's end.
        return base::fail(base::failure_code::unavailable,
                          "the log went back before what was read", 1);
    }
    reader_page out;
    if (page.first > m_next)
    {
        out.missed = gap{m_next, page.first};
        m_next = page.first;
    }
    for (auto const& it : page.records)
    {
        if (it.offset < m_next)
        {
            continue;
        }
        decode(it, out.entries);
        m_next = it.offset + 1;
    }
    out.next = m_next;
    if (m_next == page.next)
    {
        out.fresh_as_of = before;
    }
    return out;
}

void log_reader::decode(platform::log_record const& record,
                        std::vector<entry>& entries)
{
    auto it = base::capture([&] { return batch_from(record.body); });
    if (!it.has_value())
    {
        base::log(base::log_level::warning, "record_skipped",
                  {{"stream", m_stream},
                   {"offset", record.offset},
                   {"why", it.error().message}});
        return;
    }
    auto& batch = it.value();
    if (!m_deduplicator.accept(batch.writer, batch.sequence, record.offset))
    {
        return;
    }
    std::int32_t index = 0;
    for (auto& value : batch.entries)
    {
        entries.push_back(
            {{record.offset, index}, batch.writer, std::move(value)});
        ++index;
    }
}

} // namespace berylhill::stream
