#pragma once

#include <base/time.hpp>
#include <calls/minion_health.hpp>

#include <cstddef>
#include <vector>

namespace berylhill::calls
{

/// What a minion is compared with. A value.
struct peer_figures
{
    /// Peers that take calls and are known well enough.
    std::size_t peers{0};
    /// Medians over them.
    base::duration run{0};
    double failing{0};
    /// When the last good answer of any of them came.
    base::instant last_good;

    friend bool operator==(peer_figures const&, peer_figures const&) = default;
};

/// How much a slow minion still helps.
enum class slow_help : std::uint8_t
{
    none,    ///< There is room on its peers, or it answers too late.
    in_time, ///< Calls wait, and its answers still come in time.
};

/// When a minion is taken out of use: by comparison with its peers, so that a
/// fault that all share (a database behind them, hopeless requests) takes none
/// out, and never so many that the rest could not carry the load.
class ejection_rules
{
public:
    explicit ejection_rules(health_settings const& settings)
        : m_settings{settings}
    {
    }

    [[nodiscard]] static peer_figures
    figures_of(std::vector<minion_health const*> const& peers);

    /// Whether its answers so far are bad enough against its peers'.
    [[nodiscard]] bool is_outlier(minion_health const& it,
                                  peer_figures const& peers,
                                  slow_help help) const;

    /// From when on a running call counts as a sign of a silent minion.
    [[nodiscard]] base::duration silence(peer_figures const& peers) const;

    /// Whether it has said nothing for so long while a peer has answered.
    [[nodiscard]] bool is_silent(minion_health const& it,
                                 peer_figures const& peers,
                                 base::instant now) const;

    /// Whether one more of `all` minions may be out when `out` are.
    [[nodiscard]] bool may_eject(std::size_t all, std::size_t out) const;

private:
    health_settings m_settings;
};

} // namespace berylhill::calls
