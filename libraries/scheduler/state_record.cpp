#include <scheduler/record.hpp>

#include <json_codec/reader.hpp>
#include <scheduler/record_rows.hpp>

namespace berylhill::scheduler
{

namespace
{

namespace json = boost::json;

constexpr auto last_phase = static_cast<std::int64_t>(job_phase::cancelled);

base::failure unreadable(std::string_view what)
{
    return {base::failure_code::invalid,
            "unreadable state record: malformed " + std::string{what}, 0};
}

/// `[index, phase, run, failures, instance, checkpoint, instances lost, crashes
/// at start, [failed runs]]`, without empty elements at the end.
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
    if (any_failed)
    {
        out.emplace_back(
            json::array(it.failed_runs.begin(), it.failed_runs.end()));
    }
    return out;
}

bool untouched(task const& it)
{
    return it.phase == task_phase::waiting && it.run == 0;
}

/// `[step, gang failures, gang's last failed run, [task rows]]`
json::array step_row(std::uint32_t number, step const& it)
{
    json::array rows;
    for (std::uint32_t n = 0; n < it.tasks.size(); ++n)
    {
        if (!untouched(it.tasks[n]))
        {
            rows.emplace_back(task_row(n, it.tasks[n]));
        }
    }
    return {number, it.gang_failures, it.gang_failed_run, std::move(rows)};
}

json::array occurrence_row(std::uint32_t number, occurrence const& it)
{
    json::array steps;
    for (std::uint32_t n = 0; n < it.steps.size(); ++n)
    {
        steps.emplace_back(step_row(n, it.steps[n]));
    }
    return {number, std::move(steps)};
}

base::result<void> read_task(json::value const& row, step& into)
{
    auto const* const it = row.if_array();
    if (it == nullptr ||
        static_cast<std::uint64_t>(at_or(*it, 0)) >= into.tasks.size() ||
        at_or(*it, 1) > static_cast<std::int64_t>(task_phase::done))
    {
        return base::fail(unreadable("task"));
    }
    auto& to = into.tasks[static_cast<std::size_t>(at_or(*it, 0))];
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
    return {};
}

base::result<void> read_step(json::value const& row, occurrence& into)
{
    auto const* const it = row.if_array();
    constexpr std::size_t members = 4;
    if (it == nullptr || it->size() != members || !it->back().is_array() ||
        static_cast<std::uint64_t>(at_or(*it, 0)) >= into.steps.size())
    {
        return base::fail(unreadable("step"));
    }
    auto& to = into.steps[static_cast<std::size_t>(at_or(*it, 0))];
    to.gang_failures = static_cast<std::uint32_t>(at_or(*it, 1));
    to.gang_failed_run = static_cast<std::uint32_t>(at_or(*it, 2));
    for (auto const& task : it->back().get_array())
    {
        BOOST_LEAF_CHECK(read_task(task, to));
    }
    to.done = 0;
    to.waiting = 0;
    for (auto const& task : to.tasks)
    {
        to.done += task.phase == task_phase::done ? 1 : 0;
        to.waiting += task.phase == task_phase::waiting ? 1 : 0;
    }
    return {};
}

base::result<void>
read_occurrence(json::value const& row, base::instant now, job& into)
{
    auto const* const it = row.if_array();
    if (it == nullptr || it->size() != 2 || !it->back().is_array())
    {
        return base::fail(unreadable("occurrence"));
    }
    auto& to =
        into.open_occurrence(static_cast<std::uint32_t>(at_or(*it, 0)), now);
    for (auto const& step : it->back().get_array())
    {
        BOOST_LEAF_CHECK(read_step(step, to));
    }
    return {};
}

/// `[occurrence, step, index, run, instance, cores, memory, accelerators,
/// cores of the cap]`
json::array leftover_row(remaining_attempt const& it)
{
    auto const& task = it.attempt.task;
    return {task.step.occurrence, task.step.step_index, task.index,
            it.attempt.run,       it.instance,          it.need.cpu_millis,
            it.need.memory_mb,    it.need.gpus,         it.of_cap.cpu_millis};
}

base::result<remaining_attempt> leftover_in(workload::job_id id,
                                            json::value const& row)
{
    auto const* const it = row.if_array();
    constexpr std::size_t members = 9;
    if (it == nullptr || it->size() != members)
    {
        return base::fail(unreadable("leftover"));
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

base::result<std::vector<remaining_attempt>>
remaining_in(workload::job_id id, json::value const& root)
{
    std::vector<remaining_attempt> out;
    for (auto const& row : json_codec::array_or_empty(root, "w"))
    {
        BOOST_LEAF_AUTO(it, leftover_in(id, row));
        out.push_back(std::move(it));
    }
    return out;
}

base::result<job_phase> phase_in(json::value const& it)
{
    auto const number = json_codec::number_or(it, "p", -1);
    if (number < 0 || number > last_phase)
    {
        return base::fail(unreadable("phase"));
    }
    return static_cast<job_phase>(number);
}

} // namespace

std::string state_value(job const& it)
{
    json::object out{{"p", static_cast<std::int64_t>(it.phase)}};
    if (it.begun)
    {
        out["b"] = 1;
    }
    // The specification record is deleted when the job has finished.
    if (finished(it.phase) && !it.spec().account.empty())
    {
        out["u"] = it.spec().account;
    }
    if (!it.remaining_attempts.empty())
    {
        json::array rows;
        for (auto const& each : it.remaining_attempts)
        {
            rows.emplace_back(leftover_row(each));
        }
        out["w"] = std::move(rows);
        out["f"] = it.finished_ms;
    }
    if (!finished(it.phase))
    {
        json::array rows;
        for (auto const& [number, occurrence] : it.occurrences)
        {
            rows.emplace_back(occurrence_row(number, occurrence));
        }
        out["o"] = std::move(rows);
    }
    return json::serialize(out);
}

base::result<void>
read_state_value(std::string_view value, base::instant now, job& into)
{
    BOOST_LEAF_AUTO(root, json_codec::parse(value));
    BOOST_LEAF_AUTO(phase, phase_in(root));
    into.phase = phase;
    into.stored_phase = phase;
    into.begun = json_codec::number_or(root, "b") != 0;
    for (auto const& row : json_codec::array_or_empty(root, "o"))
    {
        BOOST_LEAF_CHECK(read_occurrence(row, now, into));
    }
    if (!finished(phase))
    {
        BOOST_LEAF_ASSIGN(into.remaining_attempts,
                          remaining_in(into.spec().id, root));
    }
    return {};
}

base::result<stored_status> parse_stored_status(workload::job_id id,
                                                std::string_view value)
{
    BOOST_LEAF_AUTO(root, json_codec::parse(value));
    BOOST_LEAF_AUTO(phase, phase_in(root));
    stored_status out{phase, json_codec::text_or(root, "u"), {}, 0};
    BOOST_LEAF_ASSIGN(out.remaining_attempts, remaining_in(id, root));
    out.finished_ms = json_codec::number_or(root, "f");
    return out;
}

} // namespace berylhill::scheduler
