#include <scheduler/task.hpp>

#include <algorithm>

namespace berylhill::scheduler
{

bool task::failure_is_new(std::uint32_t number) const
{
    return failed_runs.size() == failures &&
           std::ranges::find(failed_runs, number) == failed_runs.end();
}

void task::count_end(std::uint32_t number,
                     std::string const& on,
                     ended_attempt const& it,
                     policy const& rules)
{
    lost = lost.after(it, rules);
    if (!lost.suspect())
    {
        unconfirmed_losses.clear();
    }
    else if (it.reason == end_reason::instance_silent)
    {
        unconfirmed_losses.push_back({number, on});
    }
}

std::size_t task::unconfirmed_on(std::string const& at) const
{
    return static_cast<std::size_t>(std::ranges::count(
        unconfirmed_losses, at, &unconfirmed_loss::instance));
}

void task::withdraw_losses(std::string const& at)
{
    auto const n = std::erase_if(unconfirmed_losses, [&](auto const& it)
                                 { return it.instance == at; });
    lost = lost.without(static_cast<std::uint32_t>(n));
}

} // namespace berylhill::scheduler
