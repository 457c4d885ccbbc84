#pragma once

#include <cstdint>
#include <vector>

namespace berylhill::capacity
{

/// What the operating system has accounted to some processes so far.
struct usage
{
    /// Processor time of each process, user and system, in seconds.
    std::vector<double> processor_s;
    /// Resident memory of each process, in MiB.
    std::vector<double> memory_mb;
    /// Bytes that the loopback device has carried for all processes of the
    /// machine, headers included.
    double loopback_bytes{0};
};

/// Reads /proc. Precondition: the processes live.
[[nodiscard]] usage usage_of(std::vector<int> const& process_ids);

} // namespace berylhill::capacity
