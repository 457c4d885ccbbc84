#include <cell/loop_lag.hpp>

#include <algorithm>

namespace berylhill::cell
{

namespace
{

/// Between two measurements.
constexpr base::duration pause = std::chrono::milliseconds{40};

/// Upper limit of one measurement: a single pause of the whole machine is over
/// when it is measured.
constexpr base::duration longest_counted = std::chrono::milliseconds{800};

/// Time constant of the average. Measurements are weighted by the time that
/// they cover; otherwise a late loop would be noticed late.
constexpr base::duration window = std::chrono::milliseconds{600};

} // namespace

loop_lag::loop_lag(boost::asio::io_context& loop, base::clock const& clock)
    : m_clock{clock}
    , m_timer{loop}
{
    measure();
}

loop_lag::~loop_lag()
{
    m_timer.cancel();
}

void loop_lag::measure()
{
    auto const due = m_clock.now() + pause;
    m_timer.expires_after(pause);
    m_timer.async_wait(
        [this, due](auto ec)
        {
            if (ec)
            {
                return;
            }
            auto const late = std::clamp(m_clock.now() - due, base::duration{0},
                                         longest_counted);
            auto const took = std::min(pause + late, window);
            m_average += (late - m_average) * took.count() / window.count();
            measure();
        });
}

} // namespace berylhill::cell
