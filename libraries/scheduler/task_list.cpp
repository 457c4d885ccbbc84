#include <scheduler/task_list.hpp>

#include <algorithm>
#include <stdexcept>

namespace berylhill::scheduler
{

void task_list::reset(std::uint32_t n)
{
    m_size = n;
    m_rows = 0;
    m_blocks.clear();
    m_blocks.resize((m_size + tasks_per_block - 1) / tasks_per_block);
}

task const& task_list::operator[](std::size_t n) const
{
    static task const s_untouched;
    auto const& in = m_blocks[n / tasks_per_block];
    if (in.empty())
    {
        return s_untouched;
    }
    return in.size() == 1 ? in.front() : in[n % tasks_per_block];
}

task const& task_list::at(std::size_t n) const
{
    if (n >= m_size)
    {
        throw std::out_of_range{"no such task"};
    }
    return (*this)[n];
}

task& task_list::row(std::size_t n)
{
    auto const number = n / tasks_per_block;
    auto& in = m_blocks[number];
    auto const tasks = tasks_in_block(number);
    if (in.size() < tasks)
    {
        m_rows += tasks - in.size();
        in.resize(tasks, in.empty() ? task{} : task{in.front()});
    }
    return in[n % tasks_per_block];
}

void task_list::compact(std::size_t n)
{
    auto& in = m_blocks[n / tasks_per_block];
    if (in.size() <= 1 ||
        !std::ranges::all_of(in, [](task const& it)
                             { return it.phase == task_phase::done; }))
    {
        return;
    }
    m_rows -= in.size() - 1;
    task done;
    done.phase = task_phase::done;
    in = block(1, done);
    in.shrink_to_fit();
}

std::size_t task_list::tasks_in_block(std::size_t number) const
{
    return std::min(tasks_per_block, m_size - number * tasks_per_block);
}

bool operator==(task_list const& a, task_list const& b)
{
    return std::ranges::equal(a, b);
}

} // namespace berylhill::scheduler
