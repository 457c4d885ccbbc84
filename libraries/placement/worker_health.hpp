#pragma once

#include <base/time.hpp>

#include <cstdint>

namespace berylhill::placement
{

enum class health : std::uint8_t
{
    good,
    quarantined, ///< Gets nothing new.
    probing,     ///< Gets one attempt, whose end decides.
};

/// Judges one worker by how the attempts on it ended. Not thread-safe.
///
/// Guards against a worker that fails everything it starts: it shows as a row
/// of failures of unlike jobs, empties fastest and so draws all work to itself.
/// The guard holds because a row that chance alone would bring about less than
/// once in ten thousand keeps new work away, and a probe brings a mended worker
/// back. A job that fails everywhere weighs little, as it was likely to fail.
class worker_health
{
public:
    /// `likely` is how probable a failure of this attempt was on any worker,
    /// judged by the cell and by the same job elsewhere.
    void ended(bool failed, double likely, base::instant now);

    /// Moves from quarantine to probing when its time is over.
    void advance(base::instant now);

    /// An attempt was given to the worker.
    void attempt_given();

    /// An attempt ended without saying anything about the worker.
    void attempt_gone();

    [[nodiscard]] health state() const noexcept
    {
        return m_state;
    }

    [[nodiscard]] bool takes_new() const noexcept
    {
        return m_state == health::good ||
               (m_state == health::probing && !m_probe_out);
    }

private:
    void quarantine(base::instant now);

    health m_state{health::good};
    bool m_probe_out{false};
    base::instant m_until{};
    base::duration m_span{};
    /// How probable the present row of failures is on a good worker.
    double m_chance{1};
};

} // namespace berylhill::placement
