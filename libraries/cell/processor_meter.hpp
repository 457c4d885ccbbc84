#pragma once

#include <base/time.hpp>

namespace berylhill::cell
{

/// Averages the processor time that a process gets, in cores, over about the
/// last second. Pure. Not thread-safe.
class processor_meter
{
public:
    /// `used` is the processor time used up to `now`. Precondition: both are
    /// not below those of the call before.
    void measured(base::instant now, base::duration used);

    /// 0 before the second measurement.
    [[nodiscard]] double cores() const noexcept
    {
        return m_cores;
    }

private:
    bool m_started{false};
    base::instant m_at{};
    base::duration m_used{0};
    double m_cores{0};
};

} // namespace berylhill::cell
