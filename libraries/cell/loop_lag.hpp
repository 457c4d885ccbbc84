#pragma once

#include <base/time.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace berylhill::cell
{

/// Measures how late the event loop runs timers that are due, i.e. how long all
/// work waits for the processor. Lives on the event loop.
class loop_lag
{
public:
    /// Both outlive it.
    loop_lag(boost::asio::io_context& loop, base::clock const& clock);
    loop_lag(loop_lag const&) = delete;
    loop_lag& operator=(loop_lag const&) = delete;
    ~loop_lag();

    /// The average over about the last second.
    [[nodiscard]] base::duration average() const noexcept
    {
        return m_average;
    }

private:
    void measure();

    base::clock const& m_clock;
    boost::asio::steady_timer m_timer;
    base::duration m_average{0};
};

} // namespace berylhill::cell
