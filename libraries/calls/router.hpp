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
    /// Age up to which a digest counts as current; beyond it, the expected wait
    /// grows with the age.
    base::duration fresh_for{std::chrono::milliseconds{500}};
    /// Age after which a digest is used only if there is no newer one.
    base::duration stale_after{std::chrono::seconds{3}};
    /// Age of the digest after which the group is removed.
    base::duration remove_after{std::chrono::seconds{30}};

    friend bool operator==(router_settings const&,
                           router_settings const&) = default;
};

/// Capacity that a group must have to be chosen.
enum class required_capacity : std::uint8_t
{
    any,         ///< For first attempts, and after a minion failed.
    short_queue, ///< For calls that another owner refused: under overload a
                 ///< full group would only refuse them again.
    idle, ///< Free slots: for hedges, so that they never take a slot from a
          ///< first attempt.
};

/// The group and owner to which a call is sent. A value.
struct route
{
    std::string group;
    std::string owner;
    std::int64_t epoch{0};

    friend bool operator==(route const&, route const&) = default;
};

/// Chooses a group of minions for each call at its entry: of two groups drawn
/// at random, the one with the lower expected wait (power of two choices), so
/// that entries with the same outdated digests do not all choose the same
/// group. Not thread-safe.
class router
{
public:
    router(router_settings const& settings, generator random);

    /// Applies a digest. One older than the known digest of its group is
    /// ignored.
    void update_group(group_digest const& it, base::instant now);

    /// Removes a group that has lost its owner or has got a new one.
    void remove_group(std::string const& group);

    /// Chooses a group of the service that is not in `tried` and has this
    /// capacity as far as is known; empty if there is none.
    [[nodiscard]] std::optional<route>
    choose(std::string const& service,
           std::vector<std::string> const& tried,
           required_capacity room,
           base::instant now);

    /// Whether `choose` would find a group now.
    [[nodiscard]] bool has_candidate(std::string const& service,
                                     std::vector<std::string> const& tried,
                                     required_capacity room,
                                     base::instant now);

    /// Records that the group's owner refused a call for lack of capacity: the
    /// group counts as full until its next digest.
    void mark_full(std::string const& group);

    /// When to send a hedge for an idempotent call: after a time within which
    /// most calls of the service end. Empty if a hedge would not help before
    /// the deadline.
    [[nodiscard]] std::optional<base::instant>
    hedge_at(std::string const& group, call const& it, base::instant now) const;

    /// Whether any group of the service is known.
    [[nodiscard]] bool knows_service(std::string const& service) const;

    /// Removes groups whose digest is too old.
    void expire(base::instant now);

private:
    struct known_group
    {
        group_digest digest;
        base::instant updated_at;
        bool full{false};
        /// Calls sent by this entry since the digest, which it does not
        /// include.
        std::int32_t sent_since{0};
    };
    using group_list = std::vector<known_group*>;

    [[nodiscard]] group_list candidates(std::string const& service,
                                        std::vector<std::string> const& tried,
                                        required_capacity room,
                                        base::instant now);
    [[nodiscard]] bool has_capacity(known_group const& it,
                                    required_capacity room,
                                    base::instant now) const;
    [[nodiscard]] std::optional<route> pick_of_two(group_list const& among,
                                                   base::instant now);

    [[nodiscard]] double expected_wait_s(known_group const& it,
                                         base::instant now) const;

    router_settings m_settings;
    generator m_random;
    /// Keyed by service, then by group; ordered, so that equal seeds give equal
    /// choices.
    std::map<std::string, std::map<std::string, known_group>> m_services;
    std::map<std::string, std::string> m_service_of;
};

} // namespace berylhill::calls
