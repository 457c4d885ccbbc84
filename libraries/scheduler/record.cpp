#include <scheduler/record.hpp>

#include <json_codec/reader.hpp>
#include <scheduler/queue_row.hpp>
#include <scheduler/record_rows.hpp>

#include <algorithm>
#include <charconv>
#include <iterator>
#include <optional>

namespace berylhill::scheduler
{

namespace
{

namespace json = boost::json;

constexpr std::string_view spec_prefix = "j:";
constexpr std::string_view partitioned_spec_prefix = "js:";
constexpr std::string_view state_prefix = "s:";
constexpr std::string_view part_prefix = "t:";

/// Number of digits of a job's id in a key.
constexpr std::size_t id_digits = 16;

struct key_prefix
{
    std::string_view text;
    record_kind kind;
};

constexpr key_prefix prefixes[] = {
    {spec_prefix, record_kind::spec},
    {partitioned_spec_prefix, record_kind::partitioned_spec},
    {state_prefix, record_kind::state},
    {part_prefix, record_kind::part},
};

/// Parses `.OCCURRENCE`, or `.OCCURRENCE.STEP.RANGE`.
std::optional<state_part> parse_part(std::string_view text)
{
    std::vector<std::uint32_t> numbers;
    while (!text.empty())
    {
        if (text.front() != '.')
        {
            return std::nullopt;
        }
        text.remove_prefix(1);
        auto& it = numbers.emplace_back();
        auto const read =
            std::from_chars(text.data(), text.data() + text.size(), it);
        if (read.ec != std::errc{})
        {
            return std::nullopt;
        }
        text.remove_prefix(static_cast<std::size_t>(read.ptr - text.data()));
    }
    switch (numbers.size())
    {
    case 1:
        return state_part{numbers[0]};
    case 3:
        return state_part{numbers[0], numbers[1], numbers[2]};
    default:
        return std::nullopt;
    }
}

/// A JSON object without empty members: most steps use few of them.
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
    out.add("rq", it.required_label);
    out.add("nr", it.preferred_rack);
    out.add("mp", it.max_per_instance);
    out.add("mm", it.max_unavailable);
    out.add("t", it.response_time_target_ms);
    out.add("cp", std::int64_t{it.can_checkpoint});
    out.add("ga", std::int64_t{it.gang});
    out.add("sr", std::int64_t{it.same_rack});
    out.add("co", std::int64_t{it.copies_allowed});
    out.add("l", std::int64_t{it.long_running});
    out.add("f", std::int64_t{it.uses_spare_cpu});
    if (!it.depends_on.empty())
    {
        out.object()["a"] =
            json::array(it.depends_on.begin(), it.depends_on.end());
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
    out.required_label = json_codec::text_or(it, "rq");
    out.preferred_rack = json_codec::text_or(it, "nr");
    out.max_per_instance = small(it, "mp");
    out.max_unavailable = small(it, "mm");
    out.response_time_target_ms = json_codec::number_or(it, "t");
    out.can_checkpoint = small(it, "cp") != 0;
    out.gang = small(it, "ga") != 0;
    out.same_rack = small(it, "sr") != 0;
    out.copies_allowed = small(it, "co") != 0;
    out.long_running = small(it, "l") != 0;
    out.uses_spare_cpu = small(it, "f") != 0;
    for (auto const& before : json_codec::array_or_empty(it, "a"))
    {
        out.depends_on.push_back(
            static_cast<std::uint32_t>(json_codec::as_number(before)));
    }
    return out;
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

std::string partitioned_spec_key(workload::job_id it)
{
    return std::string{partitioned_spec_prefix} + text_of(it);
}

std::string part_key(workload::job_id of, state_part const& it)
{
    auto out = std::string{part_prefix} + text_of(of) + "." +
               std::to_string(it.occurrence);
    if (!it.notes_completion())
    {
        out += "." + std::to_string(it.step) + "." + std::to_string(it.range);
    }
    return out;
}

record_key parse_record_key(std::string_view key)
{
    auto const* const prefix =
        std::ranges::find_if(prefixes, [&](key_prefix const& it)
                             { return key.starts_with(it.text); });
    if (prefix == std::end(prefixes))
    {
        return {};
    }
    key.remove_prefix(prefix->text.size());
    auto const rest = key.substr(std::min(id_digits, key.size()));
    auto const id = base::capture(
        [&] {
            return workload::parse_job_id(
                key.substr(0, key.size() - rest.size()));
        });
    auto const of_part = prefix->kind == record_kind::part;
    auto const part = of_part ? parse_part(rest) : state_part{};
    if (!id || !part || (!of_part && !rest.empty()))
    {
        return {};
    }
    return {prefix->kind, id.value(), *part};
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
    if (it.standing == share_standing::over_share)
    {
        out["b"] = 1;
    }
    if (it.queue)
    {
        out["k"] = queue_row(*it.queue);
    }
    if (spec.repeats.count != 0)
    {
        out["r"] = json::array{spec.repeats.count, spec.repeats.first_ms,
                               spec.repeats.interval_ms};
    }
    return json::serialize(out);
}

std::size_t spec_record_bytes(job const& it)
{
    constexpr std::size_t key_length_bytes = 1;
    return key_length_bytes + partitioned_spec_key(it.spec().id).size() +
           spec_value(it).size();
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
                       ? share_standing::within_share
                       : share_standing::over_share;
    out.queue = queue_in(json_codec::array_or_empty(root, "k"), out.spec.queue);
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

} // namespace berylhill::scheduler
