#pragma once

#include <entry/configuration_keeper.hpp>
#include <entry/messages.hpp>
#include <entry/view.hpp>

#include <caf/event_based_actor.hpp>

#include <map>
#include <string>
#include <vector>

namespace berylhill::entry
{

struct entry_node;

/// Keeps the view: the platform's list, heartbeats of peers, and the digests
/// of groups that come with them.
class membership_actor : public caf::event_based_actor
{
public:
    membership_actor(caf::actor_config& config, entry_node& self);

    caf::behavior make_behavior() override;

private:
    using heartbeat_tick = caf::atom_constant<caf::atom("beat")>;

    void fetch_list();
    void take_list(list_fetched const& it);
    void send_heartbeats();
    void take_heartbeat(Json::Value const& it);
    void take_worker_digests(Json::Value const& it, std::string const& owner);
    void publish();
    [[nodiscard]] std::set<std::string> units() const;
    [[nodiscard]] Json::Value digests_json();
    [[nodiscard]] bool is_news(std::string const& unit,
                               calls::group_digest const& it);

    entry_node& m_node;
    std::vector<model::endpoint> m_listed;
    std::map<std::string, peer> m_peers;
    std::map<std::string, worker_group_view> m_worker_groups;
    std::map<std::string, Json::Value> m_sent_digests;
    std::map<std::string, calls::group_digest> m_sent_minions;
    std::uint64_t m_beats{0};
    bool m_fetching{false};
    configuration_keeper m_keeper;
};

/// What this process says of itself; without digests it is also the answer to
/// a peer's heartbeat. Thread-safe.
[[nodiscard]] Json::Value own_heartbeat(entry_node& self);

} // namespace berylhill::entry
