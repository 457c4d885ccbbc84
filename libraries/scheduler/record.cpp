#include <scheduler/record.hpp>

#include <json_codec/reader.hpp>

namespace berylhill::scheduler
{

namespace
{

namespace json = boost::json;

constexpr std::string_view spec_prefix = "j:";
constexpr std::string_view state_prefix = "s:";
constexpr auto last_phase = static_cast<std::int64_t>(job_phase::cancelled);

base::failure unreadable(std::string_view what)
{
    return {base::failure_code::invalid,
            "unreadable record: " + std::string{what}, 0};
}

/// Members that hold nothing are left out: most steps use few of them.
class sparse_object
{
public:
    void add(std::string_view name, std::int64_t it)
    {
        if (it != 0)
        {
            m_out[name] = it;
        }
    }

    void add(std::string_view name, std::string const& it)
    {
        if (!it.empty())
        {
            m_out[name] = it;
        }
    }

    [[nodiscard]] json::object& object() noexcept
    {
        return m_out;
    }

private:
    json::object m_out;
};

json::value step_value(workload::step_spec const& it)
{
    sparse_object out;
    out.add("n", it.tasks);
    out.add("c", it.need.cpu_millis);
    out.add("m", it.need.memory_mb);
    out.add("g", it.need.gpus);
    out.add("e", it.estimate_ms);
    out.add("im", it.image);
    out.add("rq", it.requirement);
    out.add("nr", it.near_rack);
    out.add("mp", it.most_per_instance);
    out.add("mm", it.may_miss);
    out.add("t", it.target_ms);
    out.add("cp", std::int64_t{it.checkpoints});
    out.add("ga", std::int64_t{it.gang});
    out.add("sr", std::int64_t{it.same_rack});
    out.add("co", std::int64_t{it.copies_allowed});
    out.add("l", std::int64_t{it.lasting});
    out.add("f", std::int64_t{it.fills});
    if (!it.after.empty())
    {
        out.object()["a"] = json::array(it.after.begin(), it.after.end());
    }
    return std::move(out.object());
}

std::uint32_t small(json::value const& it, std::string_view name)
{
    return static_cast<std::uint32_t>(json_codec::number_or(it, name));
}

workload::step_spec parse_step(json::value const& it)
{
    workload::step_spec out;
    out.tasks = small(it, "n");
    out.need = {json_codec::number_or(it, "c"), json_codec::number_or(it, "m"),
                json_codec::number_or(it, "g")};
    out.estimate_ms = json_codec::number_or(it, "e");
    out.image = json_codec::text_or(it, "im");
    out.requirement = json_codec::text_or(it, "rq");
    out.near_rack = json_codec::text_or(it, "nr");
    out.most_per_instance = small(it, "mp");
    out.may_miss = small(it, "mm");
    out.target_ms = json_codec::number_or(it, "t");
    out.checkpoints = small(it, "cp") != 0;
    out.gang = small(it, "ga") != 0;
    out.same_rack = small(it, "sr") != 0;
    out.copies_allowed = small(it, "co") != 0;
    out.lasting = small(it, "l") != 0;
    out.fills = small(it, "f") != 0;
    for (auto const& before : json_codec::array_or_empty(it, "a"))
    {
        out.after.push_back(
            static_cast<std::uint32_t>(json_codec::as_number(before)));
    }
    return out;
}

/// `[index, phase, run, failures, instance, checkpoint, instances lost, lost
/// at its start]`, shortened from the end where a member holds nothing.
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
    if (!it.checkpoint.empty() || it.lost.suspect())
    {
        out.emplace_back(it.checkpoint);
    }
    if (it.lost.suspect())
    {
        out.emplace_back(it.lost.losses());
        out.emplace_back(it.lost.at_start());
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

std::int64_t at_or(json::array const& it, std::size_t n)
{
    return n < it.size() ? json_codec::as_number(it[n]) : 0;
}

std::string text_at(json::array const& it, std::size_t n)
{
    return n < it.size() ? json_codec::as_text(it[n]) : std::string{};
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
json::array leftover_row(leftover const& it)
{
    auto const& task = it.attempt.task;
    return {task.of.occurrence, task.of.step, task.index,
            it.attempt.run,     it.instance,  it.need.cpu_millis,
            it.need.memory_mb,  it.need.gpus, it.of_cap.cpu_millis};
}

base::result<leftover> leftover_in(workload::job_id id, json::value const& row)
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
    leftover out;
    out.attempt = {{{id, small_at(0), small_at(1)}, small_at(2)}, small_at(3)};
    out.instance = text_at(*it, 4);
    out.need = {at_or(*it, 5), at_or(*it, 6), at_or(*it, 7)};
    out.of_cap = out.need;
    out.of_cap.cpu_millis = at_or(*it, 8);
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

std::string spec_key(workload::job_id it)
{
    return std::string{spec_prefix} + text_of(it);
}

std::string state_key(workload::job_id it)
{
    return std::string{state_prefix} + text_of(it);
}

record_key parse_record_key(std::string_view key)
{
    auto kind = record_kind::other;
    if (key.starts_with(spec_prefix))
    {
        kind = record_kind::spec;
    }
    else if (key.starts_with(state_prefix))
    {
        kind = record_kind::state;
    }
    if (kind == record_kind::other)
    {
        return {};
    }
    auto const id = base::capture(
        [&] { return workload::parse_job_id(key.substr(spec_prefix.size())); });
    return id ? record_key{kind, id.value()} : record_key{};
}

std::string spec_value(job const& it)
{
    auto const& spec = it.spec();
    json::array steps;
    for (auto const& step : spec.steps)
    {
        steps.emplace_back(step_value(step));
    }
    json::object out{{"q", spec.queue},
                     {"a", it.accepted_ms},
                     {"p", spec.payload},
                     {"s", std::move(steps)}};
    if (!spec.account.empty())
    {
        out["u"] = spec.account;
    }
    if (it.standing == share_standing::beyond)
    {
        out["b"] = 1;
    }
    if (spec.repeats.count != 0)
    {
        out["r"] = json::array{spec.repeats.count, spec.repeats.first_ms,
                               spec.repeats.interval_ms};
    }
    return json::serialize(out);
}

base::result<stored_spec> parse_spec_value(workload::job_id id,
                                           std::string_view value)
{
    BOOST_LEAF_AUTO(root, json_codec::parse(value));
    stored_spec out;
    out.spec.id = id;
    out.spec.queue = json_codec::text_or(root, "q");
    out.spec.account = json_codec::text_or(root, "u");
    out.spec.payload = json_codec::text_or(root, "p");
    out.accepted_ms = json_codec::number_or(root, "a");
    out.standing = json_codec::number_or(root, "b") == 0
                       ? share_standing::owed
                       : share_standing::beyond;
    for (auto const& it : json_codec::array_or_empty(root, "s"))
    {
        out.spec.steps.push_back(parse_step(it));
    }
    auto const& repeats = json_codec::array_or_empty(root, "r");
    if (!repeats.empty())
    {
        out.spec.repeats = {static_cast<std::uint32_t>(at_or(repeats, 0)),
                            at_or(repeats, 1), at_or(repeats, 2)};
    }
    return out;
}

std::string state_value(job const& it)
{
    json::object out{{"p", static_cast<std::int64_t>(it.phase)}};
    if (it.begun)
    {
        out["b"] = 1;
    }
    // The job's own record goes when it has finished.
    if (finished(it.phase) && !it.spec().account.empty())
    {
        out["u"] = it.spec().account;
    }
    if (!it.leftovers.empty())
    {
        json::array rows;
        for (auto const& each : it.leftovers)
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
    return {};
}

base::result<stored_end> parse_end(workload::job_id id, std::string_view value)
{
    BOOST_LEAF_AUTO(root, json_codec::parse(value));
    BOOST_LEAF_AUTO(phase, phase_in(root));
    stored_end out{phase, json_codec::text_or(root, "u"), {}, 0};
    for (auto const& row : json_codec::array_or_empty(root, "w"))
    {
        BOOST_LEAF_AUTO(it, leftover_in(id, row));
        out.leftovers.push_back(std::move(it));
    }
    out.finished_ms = json_codec::number_or(root, "f");
    return out;
}

} // namespace berylhill::scheduler
