#include <scenario/script_values.hpp>

#include <model/json.hpp>

#include <algorithm>

namespace berylhill::scenario
{

Json::Value fleet_of(script const& it)
{
    Json::Value fleet;
    fleet["workers"] = Json::Value{Json::arrayValue};
    fleet["minions"] = Json::Value{Json::arrayValue};
    for (auto const& line : it.statements)
    {
        Json::Value group;
        auto const more = std::to_string(line.line);
        if (line.what == action::workers)
        {
            auto const count = line.count("count");
            auto const racks = std::max(1, line.count("racks"));
            group["prefix"] =
                (fleet["workers"].empty() ? "w" : "w" + more) + "-";
            group["count"] = count;
            group["cores"] = line.count("cores");
            group["memory_mb"] = line.count("memory");
            group["rack_size"] = (count + racks - 1) / racks;
            group["zone"] = line.word("zone");
            fleet["workers"].append(group);
        }
        if (line.what == action::minions)
        {
            group["prefix"] =
                (fleet["minions"].empty() ? "m" : "m" + more) + "-";
            group["count"] = line.count("count");
            group["service"] = line.word("service");
            fleet["minions"].append(group);
        }
    }
    return fleet;
}

model::job_request request_of(statement const& it)
{
    model::job_request request;
    request.contract = it.word("contract");
    request.name = it.word("tag");
    request.tasks = it.count("tasks");
    request.declared = {static_cast<std::int64_t>(it.number("cores") * 1'000),
                        static_cast<std::int64_t>(it.number("memory")), 0};
    request.declared_run_s = it.number("run");
    // The parser lets only the names of these enums through.
    request.kind =
        base::capture(
            [&] { return model::enum_from<model::job_kind>(it.word("kind")); })
            .value();
    request.urgent = it.word("urgency") == "urgent" ? model::urgency::urgent
                                                    : model::urgency::normal;
    request.safety = it.word("safety") == "once" ? model::rerun::at_most_once
                                                 : model::rerun::idempotent;
    return request;
}

} // namespace berylhill::scenario
