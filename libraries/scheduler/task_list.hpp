#pragma once

#include <scheduler/task.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace berylhill::scheduler
{

/// The tasks of one step. Only their job can change them: it notes which
/// records have to be written. Not thread-safe.
class task_list
{
public:
    /// Replaces all tasks by `n` that wait.
    void reset(std::uint32_t n)
    {
        m_tasks.assign(n, {});
    }

    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_tasks.size();
    }

    /// Precondition: there is such a task.
    [[nodiscard]] task const& operator[](std::size_t n) const
    {
        return m_tasks[n];
    }

    /// Throws if there is no such task.
    [[nodiscard]] task const& at(std::size_t n) const
    {
        return m_tasks.at(n);
    }

    [[nodiscard]] auto begin() const noexcept
    {
        return m_tasks.begin();
    }

    [[nodiscard]] auto end() const noexcept
    {
        return m_tasks.end();
    }

    friend bool operator==(task_list const&, task_list const&) = default;

private:
    friend class job;

    std::vector<task> m_tasks;
};

} // namespace berylhill::scheduler
