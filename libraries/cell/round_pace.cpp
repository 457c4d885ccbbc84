#include <cell/round_pace.hpp>

#include <algorithm>

namespace berylhill::cell
{

namespace
{

/// Between the beginnings of two rounds. A round costs the owner the more the
/// more steps wait, and events come by the thousand a second in a large cell;
/// a start waits half of this longer on average.
constexpr base::duration least_pause = std::chrono::milliseconds{3};

/// After a round others have the loop for so many times as long as it took.
constexpr int others_share = 2;

/// A round seems as long as the process was stopped meanwhile; the next one
/// is not put off for that.
constexpr base::duration longest_pause = std::chrono::milliseconds{40};

} // namespace

void round_pace::ended(base::instant now)
{
    auto const rest =
        std::min<base::duration>(others_share * (now - m_began), longest_pause);
    m_next = std::max(m_began + least_pause, now + rest);
}

} // namespace berylhill::cell
