#pragma once

#include <workload/task_name.hpp>

#include <cstddef>
#include <cstdint>
#include <map>

namespace berylhill::scheduler
{

/// Counts the attempts of each task on all instances. An attempt counts from
/// the moment it is decided or reported until it is certain that it has ended,
/// whichever owner ordered it. Guards against running a task in two places: no
/// start of a task is sent while another attempt of it counts.
///
/// Pure. Not thread-safe.
class attempt_count
{
public:
    void add(workload::task_name const& it)
    {
        ++m_counts[it];
        ++m_total;
    }

    /// Precondition: the attempt was added.
    void remove(workload::task_name const& it);

    [[nodiscard]] std::uint32_t of(workload::task_name const& it) const;

    /// The attempts of all tasks.
    [[nodiscard]] std::size_t total() const noexcept
    {
        return m_total;
    }

private:
    std::map<workload::task_name, std::uint32_t> m_counts;
    std::size_t m_total{0};
};

} // namespace berylhill::scheduler
