#include <entry/configuration_keeper.hpp>

#include <base/log.hpp>
#include <configuration/change.hpp>
#include <entry/entry_node.hpp>
#include <entry/reply.hpp>

#include <algorithm>
#include <chrono>
#include <memory>

namespace berylhill::entry
{

namespace
{

constexpr base::duration s_own_stop_limit = std::chrono::seconds{2};

configuration::stop_done_change done_of(entry_node& self,
                                        configuration::planned_stop const& it)
{
    return {it.kind, it.endpoint, it.announced, self.clock.wall_us()};
}

void append(entry_node& self,
            configuration::change const& it,
            stream::log_writer::callback done)
{
    self.writers.append(configuration::s_stream, configuration::to_json(it),
                        std::move(done));
}

bool is_listed(std::vector<model::endpoint> const& listed,
               configuration::planned_stop const& stop)
{
    return std::any_of(listed.begin(), listed.end(),
                       [&](auto const& it) {
                           return it.kind == stop.kind &&
                                  it.id == stop.endpoint;
                       });
}

} // namespace

void record_own_stop(entry_node& self)
{
    auto const stop = self.configuration.state().stop_of(
        model::endpoint_kind::entry, self.settings.instance);
    if (!stop || stop->done)
    {
        return;
    }
    auto const written = std::make_shared<reply<base::done>>();
    append(self, done_of(self, *stop),
           [written](base::outcome<stream::position> const& ended)
           {
               written->set(ended ? base::outcome<base::done>{base::done{}}
                                  : base::outcome<base::done>{ended.error()});
           });
    auto const ended = written->wait(s_own_stop_limit);
    if (!ended || !*ended)
    {
        base::log(base::log_level::warning, "stop_end_not_written");
    }
}

configuration_keeper::configuration_keeper(entry_node& self)
    : m_node{self}
    , m_snapshot_at{self.clock.now() +
                    base::from_seconds(self.settings.platform.snapshot_s)}
{
}

void configuration_keeper::keep(std::vector<model::endpoint> const& listed)
{
    if (!is_first())
    {
        return;
    }
    write_snapshot(m_node.clock.now());
    end_stops(listed);
}

bool configuration_keeper::is_first() const
{
    auto const now = m_node.clock.now();
    return m_node.owned.with(
        [&](ownership::participant const& it)
        {
            auto const live = it.live_members(now);
            return !live.empty() &&
                   std::min_element(live.begin(), live.end())->incarnation ==
                       m_node.incarnation;
        });
}

void configuration_keeper::write_snapshot(base::instant now)
{
    auto const state = m_node.configuration.state();
    if (now < m_snapshot_at || !state.complete() || state.offset() < 0)
    {
        return;
    }
    m_snapshot_at =
        now + base::from_seconds(m_node.settings.platform.snapshot_s);
    append(m_node, state.to_snapshot(), [](auto const&) {});
}

void configuration_keeper::end_stops(std::vector<model::endpoint> const& listed)
{
    for (auto const& it : m_node.configuration.state().stops())
    {
        // An entry writes its own end.
        if (it.done || it.kind == model::endpoint_kind::entry ||
            is_listed(listed, it) || !m_ended.insert(it.announced).second)
        {
            continue;
        }
        append(m_node, done_of(m_node, it),
               [](base::outcome<stream::position> const& ended)
               {
                   if (!ended)
                   {
                       base::log(base::log_level::warning,
                                 "stop_end_not_written");
                   }
               });
    }
}

} // namespace berylhill::entry
