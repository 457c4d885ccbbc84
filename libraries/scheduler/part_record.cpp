#include <scheduler/part_record.hpp>

#include <json_codec/reader.hpp>
#include <scheduler/record_rows.hpp>
#include <scheduler/state_rows.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace berylhill::scheduler
{

namespace
{

namespace json = boost::json;

/// The member of a note that an occurrence is complete.
constexpr std::string_view completion_member = "d";

json::array task_rows(step const& in, state_part const& it, std::uint32_t size)
{
    json::array out;
    auto const first = std::size_t{it.range} * size;
    auto const end = std::min(first + size, in.tasks.size());
    for (auto n = first; n < end; ++n)
    {
        if (!untouched(in.tasks[n]))
        {
            out.emplace_back(
                task_row(static_cast<std::uint32_t>(n), in.tasks[n]));
        }
    }
    return out;
}

json::array remaining_rows(job const& of, state_part const& it)
{
    json::array out;
    for (auto const& each : of.remaining_attempts)
    {
        if (of.part_of(each.attempt.task) == it)
        {
            out.emplace_back(remaining_row(each));
        }
    }
    return out;
}

/// The steps and tasks of a part of an open occurrence.
base::result<void>
read_tasks(json::value const& root, workload::step_name const& of, job& into)
{
    auto* const in = into.find(of);
    if (in == nullptr)
    {
        return base::fail(unreadable("part"));
    }
    for (auto const& row : json_codec::array_or_empty(root, "t"))
    {
        BOOST_LEAF_CHECK(read_task(row, of, into));
    }
    auto const& gang = json_codec::array_or_empty(root, "g");
    if (!gang.empty())
    {
        in->gang_failures = static_cast<std::uint32_t>(at_or(gang, 0));
        in->gang_failed_run = static_cast<std::uint32_t>(at_or(gang, 1));
    }
    in->recount();
    return {};
}

/// Whether a finished job leaves records besides its head: its specification is
/// needed to count the attempts that the kept parts name.
bool keeps_parts(job const& it)
{
    return std::ranges::any_of(it.parts_kept, [&](state_part const& each)
                               { return it.parts.stored().contains(each); });
}

void add_finished(job& it, std::vector<record>& to)
{
    auto const id = it.spec().id;
    std::vector<state_part> over;
    std::ranges::set_difference(it.parts.stored(), it.parts_kept,
                                std::back_inserter(over));
    for (auto const& part : over)
    {
        to.push_back({part_key(id, part), {}});
        it.parts.deleted(part);
    }
    if (!keeps_parts(it) && it.parts.spec_may_be_stored())
    {
        to.push_back({partitioned_spec_key(id), {}});
    }
}

void add_former_spec(job& it, std::vector<record>& to)
{
    if (it.parts.take_former_records())
    {
        to.push_back({spec_key(it.spec().id), {}});
    }
}

} // namespace

std::string part_value(job const& of, state_part const& it)
{
    if (it.notes_completion())
    {
        return of.completed.beyond().contains(it.occurrence)
                   ? json::serialize(json::object{{completion_member, 1}})
                   : std::string{};
    }
    json::object out;
    auto const open = of.occurrences.find(it.occurrence);
    if (open != of.occurrences.end())
    {
        auto const& in = open->second.steps[it.step];
        auto rows = task_rows(in, it, of.layout().tasks_per_part);
        if (!rows.empty())
        {
            out["t"] = std::move(rows);
        }
        if (it.range == 0 && in.gang_failures > 0)
        {
            out["g"] = json::array{in.gang_failures, in.gang_failed_run};
        }
    }
    auto remaining = remaining_rows(of, it);
    if (!remaining.empty())
    {
        out["w"] = std::move(remaining);
    }
    return out.empty() ? std::string{} : json::serialize(out);
}

base::result<void> read_part_value(std::string_view value,
                                   state_part const& part,
                                   base::instant now,
                                   job& into)
{
    BOOST_LEAF_AUTO(root, json_codec::parse(value));
    if (part.notes_completion())
    {
        into.completed.add(part.occurrence);
        return {};
    }
    if (part.step >= into.spec().steps.size())
    {
        return base::fail(unreadable("part"));
    }
    if (!into.completed.contains(part.occurrence))
    {
        if (!into.occurrences.contains(part.occurrence))
        {
            into.open_occurrence(part.occurrence, now);
        }
        BOOST_LEAF_CHECK(read_tasks(
            root, {into.spec().id, part.occurrence, part.step}, into));
    }
    BOOST_LEAF_AUTO(remaining, remaining_in(into.spec().id, root));
    std::ranges::move(remaining, std::back_inserter(into.remaining_attempts));
    return {};
}

base::result<void> read_remaining_attempts(std::string_view value,
                                           state_part const& part,
                                           job& into)
{
    BOOST_LEAF_AUTO(root, json_codec::parse(value));
    BOOST_LEAF_AUTO(remaining, remaining_in(into.spec().id, root));
    if (part.step < into.spec().steps.size())
    {
        auto const step =
            workload::step_name{into.spec().id, part.occurrence, part.step};
        for (auto const& row : json_codec::array_or_empty(root, "t"))
        {
            BOOST_LEAF_AUTO(it, task_in(row));
            if (it.second.phase == task_phase::placed)
            {
                into.add_remaining({{step, it.first}, it.second.run},
                                   it.second.instance);
            }
        }
    }
    std::ranges::move(remaining, std::back_inserter(into.remaining_attempts));
    into.parts_kept.insert(part);
    return {};
}

std::vector<record> take_part_records(job& it)
{
    auto const id = it.spec().id;
    std::vector<record> out;
    auto const changed = it.parts.take_changed();
    auto const head = state_value(it);
    if (finished(it.phase))
    {
        if (it.parts.take_head(head))
        {
            out.push_back({state_key(id), head});
        }
        add_finished(it, out);
        add_former_spec(it, out);
        return out;
    }
    if (it.parts.take_spec())
    {
        out.push_back({partitioned_spec_key(id), spec_value(it)});
    }
    std::vector<record> deleted;
    for (auto const& part : changed)
    {
        auto value = part_value(it, part);
        if (!value.empty())
        {
            out.push_back({part_key(id, part), std::move(value)});
            it.parts.written(part);
        }
        else if (it.parts.stored().contains(part))
        {
            deleted.push_back({part_key(id, part), {}});
            it.parts.deleted(part);
        }
    }
    if (it.parts.take_head(head))
    {
        out.push_back({state_key(id), head});
    }
    std::ranges::move(deleted, std::back_inserter(out));
    add_former_spec(it, out);
    return out;
}

std::vector<std::string> keys_to_delete(job const& it)
{
    auto const id = it.spec().id;
    std::vector<std::string> out;
    for (auto const& part : it.parts.stored())
    {
        out.push_back(part_key(id, part));
    }
    if (it.parts.spec_may_be_stored())
    {
        out.push_back(partitioned_spec_key(id));
    }
    out.push_back(state_key(id));
    return out;
}

} // namespace berylhill::scheduler
