#include <entry/membership_actor.hpp>

#include <base/log.hpp>
#include <entry/actor_guard.hpp>
#include <entry/call_front.hpp>
#include <entry/codec.hpp>
#include <entry/entry_node.hpp>
#include <entry/unit.hpp>

#include <caf/all.hpp>

#include <algorithm>
#include <chrono>

namespace berylhill::entry
{

namespace
{

/// A peer that is not heard this long is left out of the view.
constexpr base::duration s_forget_after = std::chrono::seconds{10};
constexpr base::duration s_heartbeat_limit = std::chrono::seconds{1};
/// Digests travel when they change, and all of them every so many heartbeats,
/// for peers that missed some.
constexpr std::uint64_t s_all_digests_every = 10;
/// The router takes a digest of minions for stale after 3 s.
constexpr std::uint64_t s_same_digest_every = 4;

} // namespace

Json::Value own_heartbeat(entry_node& self)
{
    Json::Value out{Json::objectValue};
    out["ownership"] =
        self.owned.with([](ownership::participant const& it)
                        { return ownership::to_json(it.own_heartbeat()); });
    out["peer"] = self.peer_address;
    out["http"] = self.http_address;
    out["offset"] = Json::Int64{self.configuration.offset()};
    return out;
}

membership_actor::membership_actor(caf::actor_config& config, entry_node& self)
    : caf::event_based_actor{config}
    , m_node{self}
    , m_keeper{self}
{
}

caf::behavior membership_actor::make_behavior()
{
    end_process_on_exception(*this);
    auto const poll = base::from_seconds(m_node.settings.platform.list_poll_s);
    auto const beat = base::from_seconds(m_node.settings.ownership.heartbeat_s);
    send(this, tick_atom::value);
    send(this, heartbeat_tick::value);
    return {
        [this, poll](tick_atom)
        {
            delayed_send(this, poll, tick_atom::value);
            fetch_list();
        },
        [this, beat](heartbeat_tick)
        {
            delayed_send(this, beat, heartbeat_tick::value);
            send_heartbeats();
            publish();
        },
        [this](ownership::fetch_entry_list const&) { fetch_list(); },
        [this](list_fetched const& it) { take_list(it); },
        [this](peer_heard const& it) { take_heartbeat(it.value); },
    };
}

void membership_actor::fetch_list()
{
    if (m_fetching)
    {
        return;
    }
    m_fetching = true;
    auto const self = caf::actor_cast<caf::actor>(this);
    m_node.peer_io.post(
        [this_node = &m_node, self]
        {
            auto const as_of = this_node->clock.now();
            model::endpoint own;
            own.id = this_node->settings.instance;
            own.kind = model::endpoint_kind::entry;
            own.address = this_node->peer_address;
            own.zone = this_node->settings.zone;
            if (this_node->stopping)
            {
                own.state = model::listed_state::leaving;
            }
            auto const fetched = base::capture(
                [&]() -> base::result<std::vector<model::endpoint>>
                {
                    BOOST_LEAF_CHECK(this_node->list.put(own));
                    return this_node->list.fetch();
                });
            if (fetched)
            {
                caf::anon_send(self, list_fetched{fetched.value(), as_of});
                return;
            }
            // What was listed last stays in force: the list lags anyway, and
            // an empty one would take every worker away.
            base::log(base::log_level::warning, "list_unavailable",
                      {{"cause", fetched.error().message}});
            caf::anon_send(self, list_fetched{{}, base::instant::min()});
        });
}

void membership_actor::take_list(list_fetched const& it)
{
    m_fetching = false;
    if (it.as_of == base::instant::min())
    {
        return;
    }
    m_listed = it.endpoints;
    std::set<std::string> instances;
    for (auto const& endpoint : m_listed)
    {
        if (endpoint.kind == model::endpoint_kind::entry)
        {
            instances.insert(endpoint.id);
        }
    }
    caf::anon_send(m_node.ownership, units_listed{units()});
    caf::anon_send(m_node.ownership, entries_listed{instances, it.as_of});
    m_keeper.keep(m_listed);
    publish();
}

std::set<std::string> membership_actor::units() const
{
    std::set<std::string> out;
    for (std::int64_t n = 0; n < m_node.settings.ownership.job_shards; ++n)
    {
        out.insert(jobs_unit(n));
    }
    for (auto const& it : m_listed)
    {
        if (auto unit = unit_of(it); !unit.empty())
        {
            out.insert(std::move(unit));
        }
    }
    return out;
}

Json::Value membership_actor::digests_json()
{
    auto const all = m_beats++ % s_all_digests_every == 0;
    Json::Value out{Json::arrayValue};
    for (auto const& it : m_node.digests.workers())
    {
        Json::Value one{Json::objectValue};
        one["epoch"] = Json::Int64{it.second.epoch};
        one["digest"] = to_json(it.second.digest);
        auto& sent = m_sent_digests[it.first];
        if (all || sent != one)
        {
            sent = one;
            out.append(one);
        }
    }
    return out;
}

/// Whether a group's digest says something that peers have not heard. The
/// sequence always rises and says nothing by itself, but a digest that is not
/// repeated for long counts as stale.
bool membership_actor::is_news(std::string const& unit,
                               calls::group_digest const& it)
{
    auto& sent = m_sent_minions[unit];
    auto same = it;
    same.sequence = sent.sequence;
    if (same == sent && m_beats % s_same_digest_every != 0)
    {
        return false;
    }
    sent = it;
    return true;
}

void membership_actor::send_heartbeats()
{
    auto message = own_heartbeat(m_node);
    message["workers"] = digests_json();
    message["minions"] = Json::Value{Json::arrayValue};
    for (auto const& it : m_node.digests.minions())
    {
        m_node.calls->heard(it.second);
        if (is_news(it.first, it.second))
        {
            message["minions"].append(to_json(it.second));
        }
    }
    message["demand"] = to_json(m_node.calls->report());
    auto const self = caf::actor_cast<caf::actor>(this);
    for (auto const& it : m_listed)
    {
        if (it.kind != model::endpoint_kind::entry ||
            it.id == m_node.settings.instance)
        {
            continue;
        }
        m_node.peer_io.post(
            [this_node = &m_node, self, address = it.address, message]
            {
                auto const answer = base::capture(
                    [&]
                    {
                        return this_node->peers.call(
                            address, "heartbeat", message, s_heartbeat_limit);
                    });
                if (answer)
                {
                    caf::anon_send(self, peer_heard{answer.value()});
                }
            });
    }
}

void membership_actor::take_heartbeat(Json::Value const& it)
{
    auto const heard = base::capture(
        [&] { return ownership::heartbeat_from(it["ownership"]); });
    if (!heard || heard.value().incarnation == m_node.incarnation)
    {
        return;
    }
    auto const& value = heard.value();
    caf::anon_send(m_node.ownership, heartbeat_heard{value});
    // An older process of the same instance is gone.
    std::erase_if(m_peers,
                  [&](auto const& known)
                  {
                      return known.second.instance == value.instance &&
                             known.first != value.incarnation;
                  });
    m_peers[value.incarnation] = {
        value.incarnation,     value.instance,        value.zone,
        it["peer"].asString(), it["http"].asString(), it["offset"].asInt64(),
        value.leaving,         m_node.clock.now()};
    take_worker_digests(it["workers"], value.incarnation);
    for (auto const& one : it["minions"])
    {
        auto const digest =
            base::capture([&] { return minion_digest_from(one); });
        if (digest)
        {
            m_node.calls->heard(digest.value());
        }
    }
    if (it.isMember("demand"))
    {
        auto const demand =
            base::capture([&] { return demand_from(it["demand"]); });
        if (demand)
        {
            m_node.calls->heard(demand.value());
        }
    }
}

void membership_actor::take_worker_digests(Json::Value const& it,
                                           std::string const& owner)
{
    for (auto const& one : it)
    {
        auto const digest =
            base::capture([&] { return worker_digest_from(one["digest"]); });
        if (digest)
        {
            m_worker_groups[digest.value().group] = {digest.value(), owner,
                                                     one["epoch"].asInt64()};
        }
    }
}

void membership_actor::publish()
{
    auto const now = m_node.clock.now();
    std::erase_if(m_peers, [&](auto const& it)
                  { return now - it.second.heard > s_forget_after; });
    auto const wanted = units();
    std::erase_if(m_worker_groups,
                  [&](auto const& it) { return !wanted.contains(it.first); });
    auto next = std::make_shared<view_snapshot>();
    next->endpoints = m_listed;
    for (auto& it : next->endpoints)
    {
        // The operator's announcement comes before the list, which lags.
        if (m_node.configuration.is_stopping(it.kind, it.id))
        {
            it.state = model::listed_state::leaving;
        }
    }
    next->peers = m_peers;
    next->worker_groups = m_worker_groups;
    for (auto& it : m_node.digests.workers())
    {
        next->worker_groups[it.first] = it.second;
    }
    m_node.view.set(std::move(next));
}

} // namespace berylhill::entry
