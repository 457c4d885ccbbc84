#include <scheduler/state_rows.hpp>

#include <json_codec/reader.hpp>
#include <scheduler/record_rows.hpp>

#include <string>
#include <utility>

namespace berylhill::scheduler
{

namespace json = boost::json;

namespace
{

constexpr std::int64_t max_task_index = 0xFFFF'FFFF;

base::result<remaining_attempt> remaining_attempt_in(workload::job_id id,
                                                     json::value const& row)
{
    auto const* const it = row.if_array();
    constexpr std::size_t members = 9;
    if (it == nullptr || it->size() != members)
    {
        return base::fail(unreadable("remaining attempt"));
    }
    auto const small_at = [&](std::size_t n)
    {
        return static_cast<std::uint32_t>(at_or(*it, n));
    };
    remaining_attempt out;
    out.attempt = {{{id, small_at(0), small_at(1)}, small_at(2)}, small_at(3)};
    out.instance = text_at(*it, 4);
    out.need = {at_or(*it, 5), at_or(*it, 6), at_or(*it, 7)};
    out.of_cap = out.need;
    out.of_cap.cpu_millis = at_or(*it, 8);
    return out;
}

json::array loss_rows(task const& of)
{
    json::array out;
    for (auto const& it : of.unconfirmed_losses)
    {
        out.emplace_back(json::array{it.run, it.instance});
    }
    return out;
}

/// Losses that are not counted are ignored.
void read_losses(json::value const& rows, task& into)
{
    if (!rows.is_array() || rows.get_array().size() > into.lost.losses())
    {
        return;
    }
    for (auto const& row : rows.get_array())
    {
        if (auto const* const it = row.if_array(); it != nullptr)
        {
            into.unconfirmed_losses.push_back(
                {static_cast<std::uint32_t>(at_or(*it, 0)), text_at(*it, 1)});
        }
    }
}

} // namespace

base::failure unreadable(std::string_view what)
{
    return {base::failure_code::invalid,
            "unreadable state record: malformed " + std::string{what}, 0};
}

json::array task_row(std::uint32_t index, task const& it)
{
    json::array out{index, static_cast<std::int64_t>(it.phase)};
    if (it.phase == task_phase::done)
    {
        return out;
    }
    out.emplace_back(it.run);
    out.emplace_back(it.failures);
    out.emplace_back(it.phase == task_phase::placed ? it.instance
                                                    : std::string{});
    auto const any_failed = !it.failed_runs.empty();
    if (!it.checkpoint.empty() || it.lost.suspect() || any_failed)
    {
        out.emplace_back(it.checkpoint);
    }
    if (it.lost.suspect() || any_failed)
    {
        out.emplace_back(it.lost.losses());
        out.emplace_back(it.lost.at_start());
    }
    if (any_failed || !it.unconfirmed_losses.empty())
    {
        out.emplace_back(
            json::array(it.failed_runs.begin(), it.failed_runs.end()));
    }
    if (!it.unconfirmed_losses.empty())
    {
        out.emplace_back(loss_rows(it));
    }
    return out;
}

bool untouched(task const& it)
{
    return it.phase == task_phase::waiting && it.run == 0;
}

base::result<std::pair<std::uint32_t, task>> task_in(json::value const& row)
{
    auto const* const it = row.if_array();
    if (it == nullptr || at_or(*it, 0) < 0 || at_or(*it, 0) > max_task_index ||
        at_or(*it, 1) > static_cast<std::int64_t>(task_phase::done))
    {
        return base::fail(unreadable("task"));
    }
    task to;
    to.phase = static_cast<task_phase>(at_or(*it, 1));
    to.run = static_cast<std::uint32_t>(at_or(*it, 2));
    to.failures = static_cast<std::uint32_t>(at_or(*it, 3));
    to.instance = text_at(*it, 4);
    to.checkpoint = text_at(*it, 5);
    to.lost = {static_cast<std::uint32_t>(at_or(*it, 6)),
               static_cast<std::uint32_t>(at_or(*it, 7))};
    constexpr std::size_t failed_runs = 8;
    if (it->size() > failed_runs && (*it)[failed_runs].is_array())
    {
        for (auto const& run : (*it)[failed_runs].get_array())
        {
            to.failed_runs.push_back(
                static_cast<std::uint32_t>(json_codec::as_number(run)));
        }
    }
    constexpr std::size_t losses = 9;
    if (it->size() > losses)
    {
        read_losses((*it)[losses], to);
    }
    return std::pair{static_cast<std::uint32_t>(at_or(*it, 0)), std::move(to)};
}

base::result<void>
read_task(json::value const& row, workload::step_name const& of, job& into)
{
    BOOST_LEAF_AUTO(it, task_in(row));
    auto const* const in = into.find(of);
    if (in == nullptr || it.first >= in->tasks.size())
    {
        return base::fail(unreadable("task"));
    }
    into.restore_task({of, it.first}, std::move(it.second));
    return {};
}

json::array remaining_row(remaining_attempt const& it)
{
    auto const& task = it.attempt.task;
    return {task.step.occurrence, task.step.step_index, task.index,
            it.attempt.run,       it.instance,          it.need.cpu_millis,
            it.need.memory_mb,    it.need.gpus,         it.of_cap.cpu_millis};
}

base::result<std::vector<remaining_attempt>>
remaining_in(workload::job_id id, json::value const& root)
{
    std::vector<remaining_attempt> out;
    for (auto const& row : json_codec::array_or_empty(root, "w"))
    {
        BOOST_LEAF_AUTO(it, remaining_attempt_in(id, row));
        out.push_back(std::move(it));
    }
    return out;
}

} // namespace berylhill::scheduler
