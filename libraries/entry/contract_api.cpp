#include <entry/contract_api.hpp>

#include <api/operator_documents.hpp>
#include <api/stop_kind.hpp>
#include <base/hash.hpp>
#include <base/log.hpp>
#include <calls/admission.hpp>
#include <configuration/change.hpp>
#include <entry/entry_node.hpp>
#include <entry/http_problem.hpp>
#include <entry/reply.hpp>
#include <entry/stop_progress.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>

namespace berylhill::entry
{

namespace
{

using base::failure_code;

constexpr base::duration s_append_limit = std::chrono::seconds{4};
constexpr base::duration s_verdict_limit = std::chrono::seconds{4};
/// A change that is not in force everywhere by then is reported as missing.
constexpr base::duration s_in_force_limit = std::chrono::seconds{8};
constexpr auto s_look_again = std::chrono::milliseconds{20};
constexpr double s_retry_s = 1;

base::result<std::int64_t> append(entry_node& self,
                                  configuration::change const& it)
{
    auto const slot = std::make_shared<reply<std::int64_t>>();
    self.writers.append(
        configuration::s_stream, configuration::to_json(it),
        [slot](base::outcome<stream::position> const& ended)
        {
            slot->set(ended ? base::outcome<std::int64_t>{ended.value().offset}
                            : base::outcome<std::int64_t>{ended.error()});
        });
    auto const answer = slot->wait(s_append_limit);
    if (!answer)
    {
        return base::fail(failure_code::outcome_unknown,
                          "the log did not answer in time", s_retry_s);
    }
    return answer->as_result();
}

base::result<configuration::apply_change> apply_from(entry_node& self,
                                                     std::string const& body)
{
    BOOST_LEAF_AUTO(out, api::apply_change_from(body, self.clock.wall_us()));
    if (out.id.empty())
    {
        out.id = base::random_id();
    }
    return out;
}

/// Which live entries have the offset in force, and which do not.
struct spread
{
    std::set<std::string> in_force;
    std::set<std::string> missing;
};

spread spread_of(entry_node& self, std::int64_t offset)
{
    spread out;
    out.in_force.insert(self.settings.instance);
    auto const now = self.clock.now();
    std::set<std::string> live;
    self.owned.with(
        [&](ownership::participant const& it)
        {
            for (auto const& member : it.live_members(now))
            {
                live.insert(member.incarnation);
            }
        });
    auto const view = self.view.get();
    for (auto const& it : view->peers)
    {
        if (!live.contains(it.first))
        {
            continue;
        }
        auto& into = it.second.configuration_offset >= offset ? out.in_force
                                                              : out.missing;
        into.insert(it.second.instance);
    }
    return out;
}

Json::Value names_json(std::set<std::string> const& names)
{
    Json::Value out{Json::arrayValue};
    for (auto const& it : names)
    {
        out.append(it);
    }
    return out;
}

/// Waits until every live entry has the offset in force, or the limit.
Json::Value wait_until_in_force(entry_node& self, std::int64_t offset)
{
    auto const until = self.clock.now() + s_in_force_limit;
    auto reached = spread_of(self, offset);
    while (!reached.missing.empty() && self.clock.now() < until)
    {
        std::this_thread::sleep_for(s_look_again);
        reached = spread_of(self, offset);
    }
    // A limit that was raised, or is new, is used only once every entry must
    // have heard of it.
    std::this_thread::sleep_for(calls::admission_settings{}.settling_time);
    Json::Value out{Json::objectValue};
    out["offset"] = Json::Int64{offset};
    out["in_force"] = names_json(reached.in_force);
    out["missing"] = names_json(reached.missing);
    return out;
}

void answer_conflicts(httplib::Response& to,
                      configuration::apply_verdict const& verdict)
{
    calls::problem out;
    out.status = 409;
    out.body = api::conflict_body(verdict);
    answer_problem(to, out);
}

void apply(entry_node& self,
           httplib::Request const& request,
           httplib::Response& to)
{
    auto const change =
        base::capture([&] { return apply_from(self, request.body); });
    if (!change)
    {
        answer_failure(to, change.error(), request.path);
        return;
    }
    auto const written =
        base::capture([&] { return append(self, change.value()); });
    // An answer that was lost says nothing; the record may still be read back.
    if (!written && written.error().code != failure_code::outcome_unknown)
    {
        answer_failure(to, written.error(), request.path);
        return;
    }
    // Accepted means read back as the winner: what was written may come second
    // to another operator's change.
    auto const verdict =
        self.configuration.wait_for_verdict(change.value().id, s_verdict_limit);
    if (!verdict)
    {
        answer_failure(to,
                       {failure_code::outcome_unknown,
                        "the change was written but not read back in time",
                        s_retry_s},
                       request.path);
        return;
    }
    if (!verdict->won())
    {
        answer_conflicts(to, *verdict);
        return;
    }
    base::log(base::log_level::info, "contracts_applied",
              {{"offset", verdict->offset},
               {"operator", change.value().operator_name}});
    answer_json(to, wait_until_in_force(self, verdict->offset), 200);
}

void list(entry_node& self, httplib::Response& to)
{
    answer_json(to, api::contracts_document(self.configuration.state()), 200);
}

void history(entry_node& self, std::string const& name, httplib::Response& to)
{
    auto const out = base::capture(
        [&]
        { return api::history_document(self.configuration.state(), name); });
    if (!out)
    {
        answer_failure(to, out.error(), name);
        return;
    }
    answer_json(to, out.value(), 200);
}

base::result<configuration::stop_change> stop_from(entry_node& self,
                                                   std::string const& body)
{
    BOOST_LEAF_AUTO(out, api::stop_change_from(body, self.clock.wall_us()));
    for (auto const& it : self.view.get()->endpoints)
    {
        if (it.kind == out.kind && it.id == out.endpoint)
        {
            return out;
        }
    }
    return base::fail(failure_code::not_found,
                      "no " + std::string{api::stop_kind_name(out.kind)} + " " +
                          out.endpoint);
}

void announce(entry_node& self,
              httplib::Request const& request,
              httplib::Response& to)
{
    auto const announced = base::capture(
        [&]() -> base::result<configuration::planned_stop>
        {
            BOOST_LEAF_AUTO(change, stop_from(self, request.body));
            BOOST_LEAF_AUTO(offset, append(self, change));
            return configuration::planned_stop{
                change.kind, change.endpoint, change.operator_name,
                offset,      change.at_us,    false};
        });
    if (!announced)
    {
        answer_failure(to, announced.error(), request.path);
        return;
    }
    answer_json(to,
                api::stop_document(announced.value(),
                                   api::stop_phase::announced, std::nullopt),
                202);
}

void show_stop(entry_node& self,
               std::string const& kind,
               std::string const& id,
               httplib::Response& to)
{
    auto const progress = base::capture(
        [&]() -> base::result<Json::Value>
        {
            BOOST_LEAF_AUTO(endpoint_kind, api::stop_kind_from(kind));
            return stop_progress(self, endpoint_kind, id);
        });
    if (!progress)
    {
        answer_failure(to, progress.error(), id);
        return;
    }
    answer_json(to, progress.value(), 200);
}

} // namespace

void add_contract_api(http_router& router, entry_node& self)
{
    router.get("/v1/contracts",
               [&self](httplib::Request const&, httplib::Response& to)
               { list(self, to); });
    router.post("/v1/contracts/apply",
                [&self](httplib::Request const& request, httplib::Response& to)
                { apply(self, request, to); });
    router.get(R"(/v1/contracts/([^/]+)/history)",
               [&self](httplib::Request const& request, httplib::Response& to)
               { history(self, request.matches[1], to); });
    router.post("/v1/stops",
                [&self](httplib::Request const& request, httplib::Response& to)
                { announce(self, request, to); });
    router.get(R"(/v1/stops/([^/]+)/([^/]+))",
               [&self](httplib::Request const& request, httplib::Response& to) {
                   show_stop(self, request.matches[1], request.matches[2], to);
               });
}

} // namespace berylhill::entry
