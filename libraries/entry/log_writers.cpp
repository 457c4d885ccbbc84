#include <entry/log_writers.hpp>

#include <caf/all.hpp>

#include <utility>

namespace berylhill::entry
{

log_writers::log_writers(caf::actor_system& system,
                         platform::log_service& log,
                         base::clock const& clock,
                         std::string incarnation,
                         stream::writer_options options)
    : m_system{system}
    , m_log{log}
    , m_clock{clock}
    , m_incarnation{std::move(incarnation)}
    , m_options{std::move(options)}
{
}

void log_writers::append(std::string const& stream,
                         Json::Value const& entry,
                         stream::log_writer::callback done)
{
    writer_of(stream).append(entry, std::move(done));
}

std::size_t log_writers::pending() const
{
    std::lock_guard const lock{m_mutex};
    std::size_t n = 0;
    for (auto const& it : m_writers)
    {
        n += it.second->pending();
    }
    return n;
}

void log_writers::stop()
{
    m_stop.request_stop();
}

stream::log_writer& log_writers::writer_of(std::string const& stream)
{
    std::lock_guard const lock{m_mutex};
    auto& it = m_writers[stream];
    if (it == nullptr)
    {
        auto options = m_options;
        options.writer = m_incarnation + "/" + stream;
        it = std::make_shared<stream::log_writer>(m_log, m_clock, stream,
                                                  options);
        m_system.spawn<caf::detached>(
            [writer = it, stop = m_stop.get_token()](caf::blocking_actor*)
            { writer->run(stop); });
    }
    return *it;
}

} // namespace berylhill::entry
