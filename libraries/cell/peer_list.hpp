#pragma once

#include <base/time.hpp>
#include <cell/peer.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace berylhill::cell
{

/// So many processes are ready to take the work over at once: one, and one
/// more for the case that both it and the owner are lost.
inline constexpr std::int64_t standby_count = 2;

/// Processes by their order of succession. A value.
struct named_peers
{
    std::vector<peer> peers;
    /// Of what is named; 0 while nothing is.
    std::int64_t digest{0};

    friend bool operator==(named_peers const&, named_peers const&) = default;
};

/// How long the owner keeps a watch open before it answers, where so many
/// processes watch it. Each watch costs the owner a message: above a hundred
/// processes, 400 a second are enough.
[[nodiscard]] base::duration watch_wait(std::size_t watchers);

/// The processes that watch the owner, as it names them to each of them. The
/// load that this answers: hundreds of processes that ask four times a second;
/// with all of them named in each answer, the bytes grew with the square of
/// their number, beyond what an owner's link carries. So a list is sent
/// only where it has changed: to the standbys the whole of it, since they work
/// with it when they take over, to the others the first of the succession.
/// Pure. Not thread-safe.
class peer_list
{
public:
    /// The processes that live now, in any order.
    void set(std::vector<peer> all);

    /// What `asker` is to know of the others.
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
