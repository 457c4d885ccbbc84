#pragma once

#include <base/time.hpp>

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace berylhill::bench
{

/// Runs functions in the order of their virtual times.
class virtual_time
{
public:
    [[nodiscard]] base::instant now() const noexcept
    {
        return m_now;
    }

    void at(base::instant when, std::function<void()> run)
    {
        m_events.push({when, m_next++, std::move(run)});
    }

    void after(base::duration span, std::function<void()> run)
    {
        at(m_now + span, std::move(run));
    }

    void run_until(base::instant end)
    {
        while (!m_events.empty() && m_events.top().when <= end)
        {
            auto const it = m_events.top();
            m_events.pop();
            m_now = it.when;
            it.run();
        }
        m_now = end;
    }

private:
    struct event
    {
        base::instant when;
        std::uint64_t order;
        std::function<void()> run;

        bool operator<(event const& it) const noexcept
        {
            return when != it.when ? when > it.when : order > it.order;
        }
    };

    base::instant m_now{base::duration{1'000'000}};
    std::uint64_t m_next{0};
    std::priority_queue<event> m_events;
};

} // namespace berylhill::bench
