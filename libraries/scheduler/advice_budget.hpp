#pragma once

#include <base/time.hpp>
#include <workload/task_name.hpp>

#include <cstddef>
#include <cstdint>
#include <map>

namespace berylhill::scheduler
{

/// Limits optional requests to the advice service. The service answers one
/// request at a time for each machine that asks, so its capacity is the number
/// of these machines. Requests that only let a gang know more instances use the
/// capacity that nothing else needs.
///
/// With 97 machines most of the capacity is free, and a gang that knows more
/// instances starts sooner; with 30 machines the same requests delayed all
/// other work.
///
/// Pure. Not thread-safe.
class advice_budget
{
public:
    /// Sets how many machines can send advice requests now, including this one.
    void set_machines(std::size_t n)
    {
        m_machines = n;
    }

    /// Counts a request of the step that the service is expected to process for
    /// `expected`.
    void asked(workload::step_name const& of, base::duration expected);

    /// A request of the step has ended, with or without an answer. Does nothing
    /// for a request that was not counted.
    void ended(workload::step_name const& of);

    /// How many long requests can be sent now without delaying others.
    [[nodiscard]] std::size_t spare() const;

private:
    std::size_t m_machines{1};
    std::size_t m_long{0};
    /// Number of unanswered long requests by step.
    std::map<workload::step_name, std::uint32_t> m_open;
};

/// Requests that take the service longer than this count as long. Requests for
/// urgent work take about 13 ms, the others 140 to 1,400 ms.
inline constexpr base::duration short_advice_request =
    std::chrono::milliseconds{50};

} // namespace berylhill::scheduler
