#include <cell/round_pace.hpp>

#include <algorithm>

namespace berylhill::cell
{

namespace
{

/// Minimum time between the starts of two rounds. A round costs more the more
/// steps wait, and a large cell has thousands of events a second; starts are
/// delayed by half of this on average.
constexpr base::duration least_pause = std::chrono::milliseconds{3};

/// After a round the event loop serves others for this many times its duration.
constexpr int others_share = 2;

/// Upper limit of the pause: a round seems long if the process was suspended
/// meanwhile, which must not delay the next one.
constexpr base::duration longest_pause = std::chrono::milliseconds{40};

} // namespace

void round_pace::ended(base::instant now)
{
    auto const rest =
        std::min<base::duration>(others_share * (now - m_began), longest_pause);
    m_next = std::max(m_began + least_pause, now + rest);
}

} // namespace berylhill::cell
