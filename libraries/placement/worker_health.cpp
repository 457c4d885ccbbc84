#include <placement/worker_health.hpp>

#include <algorithm>

namespace berylhill::placement
{

namespace
{

constexpr double s_quarantine_below_probability = 1e-4;
constexpr double s_min_failure_probability = 0.02;
constexpr double s_max_failure_probability = 0.98;
constexpr base::duration s_first_quarantine{30'000'000};
constexpr base::duration s_max_quarantine{600'000'000};

} // namespace

void worker_health::on_attempt_ended(bool failed,
                                     double failure_probability,
                                     base::instant now)
{
    m_probe_running = false;
    if (!failed)
    {
        m_failure_run_probability = 1;
        m_quarantine_time = {};
        m_state = health::good;
        return;
    }
    if (m_state == health::probing)
    {
        quarantine(now);
        return;
    }
    m_failure_run_probability *=
        std::clamp(failure_probability, s_min_failure_probability,
                   s_max_failure_probability);
    if (m_state == health::good &&
        m_failure_run_probability < s_quarantine_below_probability)
    {
        quarantine(now);
    }
}

void worker_health::advance(base::instant now)
{
    if (m_state == health::quarantined && now >= m_quarantine_until)
    {
        m_state = health::probing;
        m_probe_running = false;
    }
}

void worker_health::on_attempt_placed()
{
    m_probe_running = m_state == health::probing;
}

void worker_health::on_attempt_removed()
{
    m_probe_running = false;
}

void worker_health::quarantine(base::instant now)
{
    m_state = health::quarantined;
    m_quarantine_time = m_quarantine_time.count() == 0
                            ? s_first_quarantine
                            : std::min(m_quarantine_time * 2, s_max_quarantine);
    m_quarantine_until = now + m_quarantine_time;
    m_failure_run_probability = 1;
}

} // namespace berylhill::placement
