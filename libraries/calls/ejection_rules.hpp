#pragma once

#include <base/time.hpp>
#include <calls/minion_health.hpp>

#include <cstddef>
#include <vector>

namespace berylhill::calls
{

/// Statistics of a minion's peers, for comparison. A value.
struct peer_statistics
{
    /// Number of peers that are active and have ended enough calls to be
    /// judged.
    std::size_t judged_peers{0};
    /// Medians over these peers.
    base::duration run_time{0};
    double failure_rate{0};
    /// Time of the last successful answer of any peer.
    base::instant last_success;

    friend bool operator==(peer_statistics const&,
                           peer_statistics const&) = default;
};

/// Whether a slow minion is still useful.
enum class slow_minion_use : std::uint8_t
{
    none,    ///< Its peers have free slots, or its answers come too late.
    in_time, ///< Calls are queued, and its answers still come in time.
};

/// Decides when a minion is ejected. It is compared with its peers, so that a
/// failure that affects all of them (a shared database, invalid requests)
/// ejects none, and never so many are ejected that the rest could not carry the
/// load.
class ejection_rules
{
public:
    explicit ejection_rules(health_settings const& settings)
        : m_settings{settings}
    {
    }

    [[nodiscard]] static peer_statistics
    statistics_of(std::vector<minion_health const*> const& peers);

    /// Whether the minion's answers are bad enough, compared with those of its
    /// peers, to eject it.
    [[nodiscard]] bool is_outlier(minion_health const& it,
                                  peer_statistics const& peers,
                                  slow_minion_use help) const;

    /// Running time after which a call counts as a sign that its minion has
    /// stopped answering.
    [[nodiscard]] base::duration
    silence_threshold(peer_statistics const& peers) const;

    /// Whether the minion has not answered for that long while a peer has.
    [[nodiscard]] bool is_unresponsive(minion_health const& it,
                                       peer_statistics const& peers,
                                       base::instant now) const;

    /// Whether another of `all` minions may be ejected when `out` already are.
    [[nodiscard]] bool may_eject(std::size_t all, std::size_t out) const;

private:
    health_settings m_settings;
};

} // namespace berylhill::calls
