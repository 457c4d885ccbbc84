#include <cell/loop_lag.hpp>

#include <base/log.hpp>

#include <algorithm>

namespace berylhill::cell
{

namespace
{

/// Between two measurements.
constexpr base::duration measuring_interval = std::chrono::milliseconds{40};

/// Upper limit of one measurement: a single pause of the whole machine is over
/// when it is measured.
constexpr base::duration max_measurement = std::chrono::milliseconds{800};

/// A timer that is run this late is logged: the process or its machine stood
/// still.
constexpr base::duration logged_pause = std::chrono::seconds{1};

/// Time constant of the average. Measurements are weighted by the time that
/// they cover; otherwise a late loop would be noticed late.
constexpr base::duration averaging_time = std::chrono::milliseconds{600};

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
    auto const due = m_clock.now() + measuring_interval;
    m_timer.expires_after(measuring_interval);
    m_timer.async_wait(
        [this, due](auto ec)
        {
            if (ec)
            {
                return;
            }
            auto const pause = m_clock.now() - due;
            if (pause > logged_pause)
            {
                base::log(base::log_level::warning, "loop_paused",
                          {{"late_s", base::seconds_of(pause)}});
            }
            auto const late =
                std::clamp(pause, base::duration{0}, max_measurement);
            auto const took =
                std::min(measuring_interval + late, averaging_time);
            m_average +=
                (late - m_average) * took.count() / averaging_time.count();
            measure();
        });
}

} // namespace berylhill::cell
