#pragma once

#include <base/time.hpp>
#include <calls/attempt_rules.hpp>
#include <calls/call.hpp>
#include <calls/generator.hpp>
#include <calls/group_digest.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace berylhill::calls
{

struct router_settings
{
    /// A digest older than this counts as less sure from then on.
    base::duration fresh{std::chrono::milliseconds{500}};
    /// A digest older than this is used only when there is no other.
    base::duration stale{std::chrono::seconds{3}};
    /// After this the group is forgotten.
    base::duration gone{std::chrono::seconds{30}};

    friend bool operator==(router_settings const&,
                           router_settings const&) = default;
};

/// What a group must have to be chosen.
enum class wanted_room : std::uint8_t
{
    any,         ///< For first attempts, and when a minion failed.
    short_queue, ///< For calls that another owner refused: under overload a
                 ///< full group only refuses them again.
    idle,        ///< Slots to spare: for hedges, so that they never take a
                 ///< slot from a first attempt.
};

/// Where a call is sent. A value.
struct route
{
    std::string group;
    std::string owner;
    std::int64_t epoch{0};

    friend bool operator==(route const&, route const&) = default;
};

/// Chooses a group of minions for each call at its entry: of two groups drawn
/// at random, the one with the least expected wait (power of two choices), so
/// that entries with the same late digests do not all choose the same group.
/// Not thread-safe.
class router
{
public:
    router(router_settings const& settings, generator random);

    /// A digest came. One older than what is known is ignored.
    void heard(group_digest const& it, base::instant now);

    /// The group has no owner any more, or another one from now on.
    void forget(std::string const& group);

    /// A group of the service that is not in `tried` and has this room, as
    /// far as is known; empty where none is.
    [[nodiscard]] std::optional<route>
    choose(std::string const& service,
           std::vector<std::string> const& tried,
           wanted_room room,
           base::instant now);

    /// Whether `choose` would find a group now.
    [[nodiscard]] bool offers(std::string const& service,
                              std::vector<std::string> const& tried,
                              wanted_room room,
                              base::instant now);

    /// The group's owner refused a call for want of room: until its next
    /// digest it counts as full.
    void refused(std::string const& group);

    /// When an idempotent call may be sent a second time elsewhere: after a
    /// time that most calls of the service end in. Empty where it would not
    /// help before the deadline.
    [[nodiscard]] std::optional<base::instant>
    hedge_at(std::string const& group, call const& it, base::instant now) const;

    /// Whether any group of the service is known.
    [[nodiscard]] bool knows(std::string const& service) const;

    /// Drops digests that are too old.
    void expire(base::instant now);

private:
    struct known_group
    {
        group_digest digest;
        base::instant heard_at;
        bool full{false};
        /// Calls of this entry that the digest cannot know of yet.
        std::int32_t sent_since{0};
    };
    using group_list = std::vector<known_group*>;

    [[nodiscard]] group_list candidates(std::string const& service,
                                        std::vector<std::string> const& tried,
                                        wanted_room room,
                                        base::instant now);
    [[nodiscard]] bool
    has_room(known_group const& it, wanted_room room, base::instant now) const;
    [[nodiscard]] std::optional<route> draw(group_list const& among,
                                            base::instant now);

    [[nodiscard]] double expected_wait_s(known_group const& it,
                                         base::instant now) const;

    router_settings m_settings;
    generator m_random;
    /// By service, then by group; ordered for equal choices from equal seeds.
    std::map<std::string, std::map<std::string, known_group>> m_services;
    std::map<std::string, std::string> m_service_of;
};

} // namespace berylhill::calls
