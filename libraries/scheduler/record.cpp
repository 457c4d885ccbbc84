#include <scheduler/record.hpp>

#include <json_codec/reader.hpp>
#include <scheduler/record_rows.hpp>

namespace berylhill::scheduler
{

namespace
{

namespace json = boost::json;

constexpr std::string_view spec_prefix = "j:";
constexpr std::string_view state_prefix = "s:";

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
    if (it.standing == share_standing::over_share)
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
                       ? share_standing::within_share
                       : share_standing::over_share;
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
