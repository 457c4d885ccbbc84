#pragma once

#include <base/time.hpp>

#include <cstdint>

namespace berylhill::placement
{

enum class health : std::uint8_t
{
    good,
    quarantined, ///< Gets no new attempts.
    probing,     ///< Gets one attempt, whose end decides on the next state.
};

/// Health of one worker, derived from the ends of its attempts. Not
/// thread-safe.
///
/// Protects against a worker that fails every attempt: its attempts end
/// soonest, so placement would keep sending work to its free capacity. A worker
/// is quarantined after a run of consecutive failures whose probability on a
/// good worker is below 1 in 10000, and a probe returns a repaired worker to
/// service. Failures of a job that fails everywhere count little, because they
/// were likely on any worker.
class worker_health
{
public:
    /// An attempt ended. `failure_probability` is the probability, 0 to 1, that
    /// it fails on any other worker, from the failure rates of the cell and of
    /// the same job elsewhere.
    void on_attempt_ended(bool failed,
                          double failure_probability,
                          base::instant now);

    /// Moves from quarantine to probing when the quarantine is over.
    void advance(base::instant now);

    /// An attempt was placed on the worker.
    void on_attempt_placed();

    /// An attempt ended in a way that does not depend on the worker's health.
    void on_attempt_removed();

    [[nodiscard]] health state() const noexcept
    {
        return m_state;
    }

    [[nodiscard]] bool accepts_tasks() const noexcept
    {
        return m_state == health::good ||
               (m_state == health::probing && !m_probe_running);
    }

private:
    void quarantine(base::instant now);

    health m_state{health::good};
    bool m_probe_running{false};
    base::instant m_quarantine_until{};
    base::duration m_quarantine_time{};
    /// The probability of the current run of consecutive failures on a good
    /// worker.
    double m_failure_run_probability{1};
};

} // namespace berylhill::placement
