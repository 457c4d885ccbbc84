#include <api/operator_documents.hpp>

#include <api/problem.hpp>
#include <api/stop_kind.hpp>
#include <configuration/contract_version_json.hpp>
#include <model/json.hpp>
#include <settings/contract_schema.hpp>
#include <settings/schema.hpp>

#include <cassert>
#include <limits>
#include <set>
#include <utility>

namespace berylhill::api
{

namespace
{

using configuration::apply_change;
using settings::presence;

constexpr std::size_t s_longest_id = 64;
constexpr std::size_t s_longest_operator = 64;
constexpr char const* s_source = "request";

struct stop_body
{
    model::endpoint_kind kind{model::endpoint_kind::worker};
    std::string id;
    std::string operator_name;
};

void check_names(settings::located_value const& at,
                 apply_change const& it,
                 base::findings& found)
{
    std::set<std::string> seen;
    auto const add = [&](std::string const& name)
    {
        if (!name.empty() && !seen.insert(name).second)
        {
            found.add(at.wrong("contract " + name + " stands twice"));
        }
    };
    for (auto const& contract : it.contracts)
    {
        add(contract.name);
    }
    for (auto const& name : it.removed)
    {
        add(name);
    }
}

settings::kind_pointer<apply_change> make_apply_schema()
{
    auto it = std::make_shared<settings::schema<apply_change>>();
    it->add({"id", "", "The same for repeats of this apply."},
            &apply_change::id, settings::text(s_longest_id));
    it->add({"based_on", "", "The configuration offset that was looked at.",
             presence::required},
            &apply_change::based_on,
            settings::integer(-1, std::numeric_limits<std::int64_t>::max()));
    it->add({"operator", "", "Who applies.", presence::required},
            &apply_change::operator_name, settings::text(s_longest_operator));
    it->add({"contracts", "", "To publish.", presence::required},
            &apply_change::contracts,
            settings::list_of(settings::contract_kind()));
    it->add({"remove", "", "Names to remove.", presence::required},
            &apply_change::removed, settings::list_of(settings::identifier()));
    it->check({"contracts", "remove"}, check_names);
    return it;
}

settings::kind_pointer<stop_body> make_stop_schema()
{
    std::vector<std::pair<model::endpoint_kind, std::string_view>> kinds;
    for (auto const kind :
         {model::endpoint_kind::entry, model::endpoint_kind::worker,
          model::endpoint_kind::minion})
    {
        kinds.emplace_back(kind, stop_kind_name(kind));
    }
    auto it = std::make_shared<settings::schema<stop_body>>();
    it->add({"kind", "", "What stops.", presence::required}, &stop_body::kind,
            settings::choice(std::move(kinds)));
    it->add({"id", "", "Its id.", presence::required}, &stop_body::id,
            settings::identifier());
    it->add({"operator", "", "Who announces it.", presence::required},
            &stop_body::operator_name, settings::text(s_longest_operator));
    return it;
}

template <class T>
base::result<T> read(settings::value_kind<T> const& kind,
                     std::string const& body)
{
    T value;
    base::findings found;
    settings::document const from{s_source, body, found};
    if (from.readable())
    {
        kind.read(from.root(), value, found);
    }
    if (!found.empty())
    {
        return base::fail(base::failure_code::invalid, found.text());
    }
    return value;
}

} // namespace

base::result<apply_change> apply_change_from(std::string const& body,
                                             std::int64_t now_us)
{
    static auto const s_schema = make_apply_schema();
    BOOST_LEAF_AUTO(it, read(*s_schema, body));
    it.at_us = now_us;
    return it;
}

base::result<configuration::stop_change>
stop_change_from(std::string const& body, std::int64_t now_us)
{
    static auto const s_schema = make_stop_schema();
    BOOST_LEAF_AUTO(it, read(*s_schema, body));
    return configuration::stop_change{it.kind, std::move(it.id),
                                      std::move(it.operator_name), now_us};
}

Json::Value contracts_document(configuration::state const& it)
{
    Json::Value out{Json::objectValue};
    out["offset"] = Json::Int64{it.offset()};
    out["complete"] = it.complete();
    out["contracts"] = Json::Value{Json::arrayValue};
    for (auto const& version : it.contracts())
    {
        out["contracts"].append(configuration::to_json(version));
    }
    return out;
}

base::result<Json::Value> history_document(configuration::state const& it,
                                           std::string const& name)
{
    auto const items = it.history_of(name);
    if (items.empty() && !it.find(name))
    {
        return base::fail(base::failure_code::not_found,
                          "no contract " + name + " is known");
    }
    Json::Value out{Json::objectValue};
    out["name"] = name;
    out["history"] = Json::Value{Json::arrayValue};
    for (auto const& item : items)
    {
        out["history"].append(configuration::to_json(item));
    }
    return out;
}

std::string conflict_body(configuration::apply_verdict const& verdict)
{
    assert(!verdict.won());
    std::string detail;
    Json::Value conflicts{Json::arrayValue};
    for (auto const& it : verdict.conflicts)
    {
        detail += configuration::text_of(it);
        conflicts.append(configuration::to_json(it));
    }
    auto out = json_of(problem_of({base::failure_code::conflict, detail, 0}));
    out["conflicts"] = conflicts;
    return model::text_of(out);
}

std::string_view name_of(stop_phase it) noexcept
{
    switch (it)
    {
    case stop_phase::announced:
        return "announced";
    case stop_phase::draining:
        return "draining";
    case stop_phase::done:
        return "done";
    }
    return "announced";
}

Json::Value stop_document(configuration::planned_stop const& it,
                          stop_phase phase,
                          std::optional<std::int64_t> work_left)
{
    Json::Value out{Json::objectValue};
    out["kind"] = std::string{stop_kind_name(it.kind)};
    out["id"] = it.endpoint;
    out["operator"] = it.operator_name;
    out["state"] = std::string{name_of(phase)};
    if (work_left)
    {
        out["work_left"] = Json::Int64{*work_left};
    }
    return out;
}

} // namespace berylhill::api
