#pragma once

#include <base/time.hpp>
#include <cell/advice_link.hpp>
#include <cell/peer.hpp>
#include <cell/peer_client.hpp>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace berylhill::cell
{

/// Spreads questions for advice over the machines of the cell: the service
/// handles one at a time for each machine that asks, so the owner alone would
/// wait for a second behind each long one. The machine that will be free
/// first asks. Lives on the event loop.
class advice_desk
{
public:
    using handler = std::function<void(advice_result const&)>;

    /// Fills in the other processes that live now.
    using peers_function = std::function<std::vector<peer>()>;

    advice_desk(base::clock const& clock,
                advice_link& own,
                peer_client& peers,
                peers_function others);

    /// `done` is called once, on the event loop.
    void ask(scheduler::advice_order const& it, handler done);

private:
    struct machine
    {
        base::instant free_at{};
        base::instant avoid_until{};
    };

    [[nodiscard]] peer const* choose(std::vector<peer> const& others,
                                     base::duration expected,
                                     base::instant now);

    base::clock const& m_clock;
    advice_link& m_own;
    peer_client& m_peers;
    peers_function m_others;
    /// By the peer's address; the empty address is this process.
    std::map<network::socket_address, machine> m_machines;
};

} // namespace berylhill::cell
