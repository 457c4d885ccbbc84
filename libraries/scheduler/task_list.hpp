#pragma once

#include <scheduler/task.hpp>

#include <cstddef>
#include <cstdint>
#include <iterator>
#include <vector>

namespace berylhill::scheduler
{

/// The tasks of one step. Only their job can change them: it notes which
/// records have to be written. Tasks that have not started, and ranges of tasks
/// that are done, take a few bytes each: a small request can ask for many. Not
/// thread-safe.
class task_list
{
public:
    /// Visits the tasks in the order of their indices.
    class iterator
    {
    public:
        using iterator_category = std::forward_iterator_tag;
        using value_type = task;
        using difference_type = std::ptrdiff_t;
        using pointer = task const*;
        using reference = task const&;

        iterator() = default;
        iterator(task_list const& of, std::size_t n)
            : m_of{&of}
            , m_n{n}
        {
        }

        reference operator*() const
        {
            return (*m_of)[m_n];
        }

        pointer operator->() const
        {
            return &**this;
        }

        iterator& operator++()
        {
            ++m_n;
            return *this;
        }

        iterator operator++(int)
        {
            auto const out = *this;
            ++m_n;
            return out;
        }

        friend bool operator==(iterator const&, iterator const&) = default;

    private:
        task_list const* m_of{nullptr};
        std::size_t m_n{0};
    };

    /// Replaces all tasks by `n` that wait.
    void reset(std::uint32_t n);

    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_size;
    }

    /// Precondition: there is such a task.
    [[nodiscard]] task const& operator[](std::size_t n) const;

    /// Throws if there is no such task.
    [[nodiscard]] task const& at(std::size_t n) const;

    [[nodiscard]] iterator begin() const noexcept
    {
        return {*this, 0};
    }

    [[nodiscard]] iterator end() const noexcept
    {
        return {*this, m_size};
    }

    /// The memory that the list takes, in bytes.
    [[nodiscard]] std::size_t memory() const noexcept
    {
        return m_blocks.size() * sizeof(block) + m_rows * sizeof(task);
    }

    friend bool operator==(task_list const& a, task_list const& b);

private:
    friend class job;

    /// Tasks that share a block, which has a row for each as soon as one of
    /// them changes. Few, since a block with one change takes as much memory as
    /// one with all.
    static constexpr std::size_t tasks_per_block = 8;

    /// No row: all tasks wait and never started. One row: it holds for all.
    using block = std::vector<task>;

    /// The row of the task, which may be changed until the next call.
    /// Precondition: there is such a task.
    [[nodiscard]] task& row(std::size_t n);

    /// If all tasks of its block are done, replaces their rows by one, without
    /// what only an unfinished task needs. Precondition: there is such a task.
    void compact(std::size_t n);

    [[nodiscard]] std::size_t tasks_in_block(std::size_t number) const;

    /// What a task takes that has not started.
    static constexpr std::size_t memory_per_task =
        sizeof(block) / tasks_per_block;

    std::vector<block> m_blocks;
    std::size_t m_size{0};
    /// Rows of all blocks.
    std::size_t m_rows{0};
};

} // namespace berylhill::scheduler
