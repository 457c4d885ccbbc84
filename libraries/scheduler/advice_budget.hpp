#pragma once

#include <base/time.hpp>
#include <workload/task_name.hpp>

#include <cstddef>
#include <cstdint>
#include <map>

namespace berylhill::scheduler
{

/// How much may be asked of the service of advice beyond what is needed. It
/// answers one question at a time for each machine that asks, so the machines'
/// time is all there is; questions that only add to what a gang knows use the
/// part of it that nothing else does.
///
/// Answers a load of wide gangs on many machines and on few: with 97 machines
/// most of the time is free, and a gang that knows more of the instances
/// starts sooner; with 30 the same questions held up all other work.
///
/// Pure. Not thread-safe.
class advice_budget
{
public:
    /// How many machines can ask now, this one included.
    void set_machines(std::size_t n)
    {
        m_machines = n;
    }

    /// A question of the step was decided on; it takes the service so long.
    void asked(workload::step_name const& of, base::duration expected);

    /// A question of the step has ended, with or without an answer.
    void ended(workload::step_name const& of);

    /// How many long questions may be added now that none has to wait for.
    [[nodiscard]] std::size_t spare() const;

private:
    std::size_t m_machines{1};
    std::size_t m_long{0};
    /// By step: its long questions without an end.
    std::map<workload::step_name, std::uint32_t> m_open;
};

/// A question that takes the service longer than this counts as long. Those
/// for urgent work take some 13 ms, the others 140 to 1,400 ms.
inline constexpr base::duration short_advice_request =
    std::chrono::milliseconds{50};

} // namespace berylhill::scheduler
