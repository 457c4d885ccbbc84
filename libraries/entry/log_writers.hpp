#pragma once

#include <base/time.hpp>
#include <platform/log_service.hpp>
#include <stream/log_writer.hpp>

#include <caf/actor_system.hpp>

#include <json/value.h>

#include <map>
#include <memory>
#include <mutex>
#include <stop_token>
#include <string>

namespace berylhill::entry
{

/// One writer for each stream that this process writes, each run by a detached
/// actor, because appending blocks. Thread-safe.
class log_writers
{
public:
    /// `incarnation` names this process in every record.
    log_writers(caf::actor_system& system,
                platform::log_service& log,
                base::clock const& clock,
                std::string incarnation,
                stream::writer_options options);

    /// Appends to the stream; see `stream::log_writer::append`.
    void append(std::string const& stream,
                Json::Value const& entry,
                stream::log_writer::callback done);

    /// What waits in all writers.
    [[nodiscard]] std::size_t pending() const;

    /// Writes what waits, and stops. Blocks until the writers' actors are
    /// through when the system is awaited.
    void stop();

private:
    [[nodiscard]] stream::log_writer& writer_of(std::string const& stream);

    caf::actor_system& m_system;
    platform::log_service& m_log;
    base::clock const& m_clock;
    std::string m_incarnation;
    stream::writer_options m_options;
    mutable std::mutex m_mutex;
    std::map<std::string, std::shared_ptr<stream::log_writer>> m_writers;
    std::stop_source m_stop;
};

} // namespace berylhill::entry
