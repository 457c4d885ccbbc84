#include <entry/ownership_actor.hpp>

#include <base/log.hpp>
#include <entry/actor_guard.hpp>
#include <entry/entry_node.hpp>

#include <caf/all.hpp>

#include <chrono>
#include <utility>

namespace berylhill::entry
{

namespace
{

constexpr auto s_tick = std::chrono::milliseconds{100};
constexpr base::duration s_vouch_limit = std::chrono::milliseconds{800};

} // namespace

ownership_actor::ownership_actor(caf::actor_config& config, entry_node& self)
    : caf::event_based_actor{config}
    , m_node{self}
    , m_units{self}
{
}

caf::behavior ownership_actor::make_behavior()
{
    end_process_on_exception(*this);
    delayed_send(this, s_tick, tick_atom::value);
    // Each event runs the state machine, alone, at the instant of the event.
    auto const change = [this](auto const& step)
    {
        auto const now = m_node.clock.now();
        run(m_node.owned.with([&](ownership::participant& it)
                              { return step(it, now); }));
        m_units.reconcile();
    };
    return {
        [this, change](tick_atom)
        {
            delayed_send(this, s_tick, tick_atom::value);
            change([](auto& it, base::instant now) { return it.tick(now); });
        },
        [this](ownership_page const& it)
        {
            take_page(*it.page);
            m_units.reconcile();
        },
        [change](ownership_append_ended const& message)
        {
            change(
                [&](auto& it, base::instant now) {
                    return it.on_append_settled(message.ticket, message.end,
                                                now);
                });
        },
        [change](heartbeat_heard const& message)
        {
            change([&](auto& it, base::instant now)
                   { return it.on_heartbeat(message.value, now); });
        },
        [change](suspicion_heard const& message)
        {
            change([&](auto& it, base::instant now)
                   { return it.on_suspicion(message.value, now); });
        },
        [change](vouch_asked const& message)
        {
            change([&](auto& it, base::instant now)
                   { return it.on_vouch_request(message.value, now); });
        },
        [change](vouch_answered const& message)
        {
            change([&](auto& it, base::instant now)
                   { return it.on_vouch_answer(message.value, now); });
        },
        [change](entries_listed const& message)
        {
            change(
                [&](auto& it, base::instant)
                { return it.on_entry_list(message.instances, message.as_of); });
        },
        [change](units_listed const& message)
        {
            change([&](auto& it, base::instant now)
                   { return it.set_units(message.units, now); });
        },
        [change](stop_atom)
        { change([](auto& it, base::instant now) { return it.stop(now); }); },
    };
}

void ownership_actor::take_page(stream::reader_page const& page)
{
    std::vector<std::pair<std::int64_t, ownership::record>> records;
    records.reserve(page.entries.size());
    for (auto const& it : page.entries)
    {
        auto record =
            base::capture([&] { return ownership::record_from(it.value); });
        if (!record)
        {
            base::log(
                base::log_level::warning, "ownership_record_ignored",
                {{"offset", it.at.offset}, {"cause", record.error().message}});
            continue;
        }
        records.emplace_back(it.at.offset, std::move(record.value()));
    }
    auto const now = m_node.clock.now();
    run(m_node.owned.with(
        [&](ownership::participant& it)
        {
            if (page.missed)
            {
                it.on_log_gap(page.missed->to);
            }
            return it.on_log_read(records, page.next, page.fresh_as_of, now);
        }));
}

void ownership_actor::run(ownership::actions const& todo)
{
    for (auto const& it : todo)
    {
        std::visit([this](auto const& action) { perform(action); }, it);
    }
}

void ownership_actor::perform(ownership::append_record const& it)
{
    auto const self = caf::actor_cast<caf::actor>(this);
    auto const ticket = it.ticket;
    m_node.writers.append(
        m_node.ownership_stream, ownership::to_json(it.value),
        [self, ticket](base::outcome<stream::position> const& ended)
        {
            if (ended)
            {
                caf::anon_send(self,
                               ownership_append_ended{
                                   ticket, ownership::append_outcome::written});
                return;
            }
            // An unknown end is left to what the log shows.
            if (ended.error().code != base::failure_code::outcome_unknown)
            {
                caf::anon_send(
                    self,
                    ownership_append_ended{
                        ticket, ownership::append_outcome::never_written});
            }
        });
}

void ownership_actor::perform(ownership::send_vouch_request const& it)
{
    send_to_instance(it.to, "ownership.vouch_request",
                     ownership::to_json(it.message));
}

void ownership_actor::perform(ownership::send_vouch_answer const& it)
{
    send_to_instance(it.to, "ownership.vouch_answer",
                     ownership::to_json(it.message));
}

void ownership_actor::perform(ownership::send_suspicion const& it)
{
    send_to_instance(it.to, "ownership.suspicion",
                     ownership::to_json(it.message));
}

void ownership_actor::perform(ownership::fetch_entry_list const&)
{
    caf::anon_send(m_node.membership, ownership::fetch_entry_list{});
}

void ownership_actor::send_to_instance(std::string const& instance,
                                       std::string const& method,
                                       Json::Value const& message)
{
    auto const view = m_node.view.get();
    for (auto const& it : view->endpoints)
    {
        if (it.kind != model::endpoint_kind::entry || it.id != instance)
        {
            continue;
        }
        m_node.peer_io.post(
            [this_node = &m_node, address = it.address, method, message]
            {
                auto const sent = base::capture(
                    [&] {
                        return this_node->peers.call(address, method, message,
                                                     s_vouch_limit);
                    });
                if (!sent)
                {
                    base::log(
                        base::log_level::debug, "vouch_not_sent",
                        {{"peer", address}, {"cause", sent.error().message}});
                }
            });
    }
}

} // namespace berylhill::entry
