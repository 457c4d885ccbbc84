#include <placement/queue_action.hpp>

namespace berylhill::placement
{

namespace
{

template <class T>
void add_all(std::vector<T>& to, std::vector<T> const& from)
{
    to.insert(to.end(), from.begin(), from.end());
}

} // namespace

void queue_actions::append(queue_actions const& it)
{
    add_all(holds, it.holds);
    add_all(commits, it.commits);
    add_all(releases, it.releases);
    add_all(reservations, it.reservations);
    add_all(resizes, it.resizes);
    add_all(outcomes, it.outcomes);
}

} // namespace berylhill::placement
