#pragma once

#include <cell/advice_client.hpp>
#include <cell/advice_queue.hpp>
#include <cell/peer.hpp>
#include <cell/peer_client.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace berylhill::cell
{

/// Distributes advice requests over the processes of the cell, in the order
/// that `advice_queue` gives. Lives on the event loop.
class advice_dispatcher
{
public:
    using handler = std::function<void(advice_result const&)>;

    /// Returns the other live processes.
    using peers_function = std::function<std::vector<peer>()>;

    advice_dispatcher(base::clock const& clock,
                      advice_client& own,
                      peer_client& peers,
                      peers_function others);

    /// The number of processes that can send requests now, this one included.
    [[nodiscard]] std::size_t sender_count();

    /// `done` is called once, on the event loop, unless the request is dropped.
    void ask(scheduler::advice_order const& it, handler done);

    /// Cancels all requests that have not been sent and returns their number.
    /// Their handlers are not called.
    std::size_t drop_waiting();

private:
    struct question
    {
        scheduler::advice_order order;
        handler done;
    };

    /// The live processes besides this one; cached for a short time.
    [[nodiscard]] std::vector<peer> const& others();
    void send_next();
    void send(advice_queue::assignment const& it);
    void answered(advice_queue::assignment const& it,
                  advice_result const& result);

    base::clock const& m_clock;
    advice_client& m_own;
    peer_client& m_peers;
    peers_function m_others;
    advice_queue m_queue;
    std::vector<peer> m_known;
    base::instant m_known_until{};
    std::uint64_t m_last_number{0};
    std::map<std::uint64_t, question> m_questions;
};

} // namespace berylhill::cell
