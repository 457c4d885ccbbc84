#include <cell/round_throttle.hpp>

#include <algorithm>

namespace berylhill::cell
{

namespace
{

/// Minimum time between the starts of two rounds. A round costs more the more
/// steps wait, and a large cell has thousands of events a second; starts are
/// delayed by half of this on average.
constexpr base::duration min_round_interval = std::chrono::milliseconds{3};

/// After a round the event loop serves others for this many times its duration.
constexpr int pause_factor = 2;

/// Upper limit of the pause: a round seems long if the process was suspended
/// meanwhile, which must not delay the next one.
constexpr base::duration max_pause = std::chrono::milliseconds{40};

} // namespace

void round_throttle::ended(base::instant now)
{
    auto const rest =
        std::min<base::duration>(pause_factor * (now - m_began), max_pause);
    m_next = std::max(m_began + min_round_interval, now + rest);
}

} // namespace berylhill::cell
