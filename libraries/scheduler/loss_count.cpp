#include <scheduler/loss_count.hpp>

namespace berylhill::scheduler
{

loss_count loss_count::after(ended_attempt const& it, policy const& rules) const
{
    if (it.seen_work >= rules.harmless_work)
    {
        return {};
    }
    if (!instance_lost(it.reason) || it.reason == end_reason::instance_left)
    {
        return *this;
    }
    auto const crashed_at_start = it.reason == end_reason::instance_crashed &&
                                  it.began && it.seen_work < rules.start_work;
    return {m_losses + 1, m_at_start + (crashed_at_start ? 1 : 0)};
}

} // namespace berylhill::scheduler
