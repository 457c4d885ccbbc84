#include <workload/task_name.hpp>

#include <array>
#include <charconv>

namespace berylhill::workload
{

namespace
{

constexpr std::size_t id_digits = 16;

base::failure malformed(std::string_view text)
{
    return {base::failure_code::invalid,
            "invalid task name: " + std::string{text}, 0};
}

} // namespace

std::string text_of(step_name const& it)
{
    return text_of(it.job) + "." + std::to_string(it.occurrence) + "." +
           std::to_string(it.step_index);
}

std::string text_of(task_name const& it)
{
    return text_of(it.step) + "." + std::to_string(it.index);
}

base::result<task_name> parse_task_name(std::string_view text)
{
    BOOST_LEAF_AUTO(job, parse_job_id(text.substr(0, id_digits)));
    std::array<std::uint32_t, 3> numbers{};
    auto at = text.data() + std::min(text.size(), id_digits);
    auto const end = text.data() + text.size();
    for (auto& it : numbers)
    {
        if (at == end || *at != '.')
        {
            return base::fail(malformed(text));
        }
        auto const read = std::from_chars(at + 1, end, it);
        if (read.ec != std::errc{})
        {
            return base::fail(malformed(text));
        }
        at = read.ptr;
    }
    if (at != end)
    {
        return base::fail(malformed(text));
    }
    return task_name{{job, numbers[0], numbers[1]}, numbers[2]};
}

} // namespace berylhill::workload
