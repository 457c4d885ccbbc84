#include <scheduler/record.hpp>

#include <json_codec/reader.hpp>
#include <scheduler/record_rows.hpp>
#include <scheduler/state_rows.hpp>

namespace berylhill::scheduler
{

namespace
{

namespace json = boost::json;

constexpr auto last_phase = static_cast<std::int64_t>(job_phase::cancelled);

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

base::result<void>
read_step(json::value const& row, std::uint32_t occurrence, job& into)
{
    auto const* const it = row.if_array();
    constexpr std::size_t members = 4;
    if (it == nullptr || it->size() != members || !it->back().is_array() ||
        static_cast<std::uint64_t>(at_or(*it, 0)) >= into.spec().steps.size())
    {
        return base::fail(unreadable("step"));
    }
    auto const name = workload::step_name{
        into.spec().id, occurrence, static_cast<std::uint32_t>(at_or(*it, 0))};
    auto& to = *into.find(name);
    to.gang_failures = static_cast<std::uint32_t>(at_or(*it, 1));
    to.gang_failed_run = static_cast<std::uint32_t>(at_or(*it, 2));
    for (auto const& task : it->back().get_array())
    {
        BOOST_LEAF_CHECK(read_task(task, name, into));
    }
    to.recount();
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
    auto const number = static_cast<std::uint32_t>(at_or(*it, 0));
    into.open_occurrence(number, now);
    for (auto const& step : it->back().get_array())
    {
        BOOST_LEAF_CHECK(read_step(step, number, into));
    }
    return {};
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

/// What the head of a partitioned state has besides the phase. A process of a
/// release that knows no parts reads nothing but the head, so the account is
/// always named there.
void add_head(job const& it, json::object& out)
{
    if (!it.spec().account.empty())
    {
        out["u"] = it.spec().account;
    }
    if (it.completed.all_below() > 0)
    {
        out["c"] = it.completed.all_below();
    }
    if (finished(it.phase))
    {
        out["f"] = it.finished_ms;
    }
}

} // namespace

std::string state_value(job const& it)
{
    json::object out{{"p", static_cast<std::int64_t>(it.phase)}};
    if (it.begun)
    {
        out["b"] = 1;
    }
    if (!it.submitted)
    {
        out["n"] = 1;
    }
    if (it.partitioned())
    {
        add_head(it, out);
        return json::serialize(out);
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
            rows.emplace_back(remaining_row(each));
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
    into.completed.add_all_below(
        static_cast<std::uint32_t>(json_codec::number_or(root, "c")));
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
    stored_status out{phase, json_codec::text_or(root, "u"), {}, 0, true};
    BOOST_LEAF_ASSIGN(out.remaining_attempts, remaining_in(id, root));
    out.finished_ms = json_codec::number_or(root, "f");
    out.submitted = json_codec::number_or(root, "n") == 0;
    return out;
}

} // namespace berylhill::scheduler
