#pragma once

#include <base/time.hpp>
#include <cell/peer.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace berylhill::cell
{

/// The number of processes that are ready to take over at once: one, and one
/// more in case it is lost together with the owner.
inline constexpr std::int64_t standby_count = 2;

/// Processes in order of succession. A value.
struct named_peers
{
    std::vector<peer> peers;
    /// Digest of the list; 0 if it is empty.
    std::int64_t digest{0};

    friend bool operator==(named_peers const&, named_peers const&) = default;
};

/// How long the owner keeps a watch open with this many watchers. Each watch
/// costs the owner a message; with more than a hundred processes, 400 messages
/// a second are enough.
[[nodiscard]] base::duration watch_wait(std::size_t watchers);

/// The processes that watch the owner, as the owner reports them to each of
/// them. With hundreds of processes that ask four times a second, answers that
/// named all of them grew with the square of their number beyond the capacity
/// of the owner's link. So a list is sent only after a change: to the standbys
/// in full, because they need it when they take over, and to the others only
/// the first in the order of succession. Pure. Not thread-safe.
class peer_list
{
public:
    /// Sets the live processes, in any order.
    void set(std::vector<peer> all);

    /// Returns the list that `asker` is sent.
    [[nodiscard]] named_peers const& known_to(peer const& asker) const;

    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_whole.peers.size();
    }

private:
    named_peers m_whole;
    named_peers m_first;
};

} // namespace berylhill::cell
