#include <entry/operator_api.hpp>

#include <entry/entry_node.hpp>
#include <entry/http_front.hpp>
#include <entry/http_problem.hpp>
#include <telemetry/span.hpp>

#include <chrono>
#include <string>

namespace berylhill::entry
{

namespace
{

constexpr base::duration s_trace_limit = std::chrono::seconds{1};

Json::Value units_json(entry_node& self)
{
    Json::Value out{Json::arrayValue};
    self.owned.with(
        [&](ownership::participant const& it)
        {
            for (auto const& unit : it.table().units())
            {
                Json::Value one{Json::objectValue};
                one["unit"] = unit.first;
                one["owner"] = unit.second.incarnation;
                one["epoch"] = Json::Int64{unit.second.epoch};
                one["released"] = unit.second.released;
                out.append(one);
            }
        });
    return out;
}

Json::Value peers_json(entry_node& self)
{
    Json::Value out{Json::arrayValue};
    for (auto const& it : self.view.get()->peers)
    {
        Json::Value one{Json::objectValue};
        one["instance"] = it.second.instance;
        one["incarnation"] = it.first;
        one["zone"] = it.second.zone;
        one["configuration_offset"] =
            Json::Int64{it.second.configuration_offset};
        one["leaving"] = it.second.leaving;
        out.append(one);
    }
    return out;
}

void status(entry_node& self, httplib::Response& to)
{
    Json::Value out{Json::objectValue};
    out["instance"] = self.settings.instance;
    out["incarnation"] = self.incarnation;
    out["zone"] = self.settings.zone;
    out["side"] = self.settings.side;
    out["configuration_offset"] = Json::Int64{self.configuration.offset()};
    out["configuration_complete"] = self.configuration.state().complete();
    out["units"] = units_json(self);
    out["peers"] = peers_json(self);
    Json::Value queues{Json::objectValue};
    queues["log_entries"] = static_cast<Json::UInt64>(self.writers.pending());
    for (auto const& it : self.digests.minions())
    {
        queues[it.first] = it.second.queued;
    }
    out["queues"] = queues;
    answer_json(to, out, 200);
}

/// The spans that this entry and its peers hold of one trace.
void trace(entry_node& self, std::string const& id, httplib::Response& to)
{
    Json::Value message{Json::objectValue};
    message["trace_id"] = id;
    Json::Value out{Json::objectValue};
    out["spans"] = Json::Value{Json::arrayValue};
    auto const add = [&](base::outcome<Json::Value> const& it)
    {
        if (!it)
        {
            return;
        }
        for (auto const& span : it.value()["spans"])
        {
            out["spans"].append(span);
        }
    };
    add(base::capture([&] { return self.dispatch("trace", message); }));
    for (auto const& it : self.view.get()->peers)
    {
        auto const& address = it.second.peer_address;
        add(base::capture(
            [&] {
                return self.peers.call(address, "trace", message,
                                       s_trace_limit);
            }));
    }
    answer_json(to, out, 200);
}

/// The balancer asks this; an entry that is stopping says so at once.
void health(entry_node& self, httplib::Response& to)
{
    Json::Value out{Json::objectValue};
    out["state"] = self.stopping                      ? "stopping"
                   : self.configuration.offset() >= 0 ? "ready"
                                                      : "starting";
    answer_json(to, out, self.stopping ? 503 : 200);
}

void metrics(entry_node& self, httplib::Response& to)
{
    for (auto const& it : network::by_reason(self.front->counts()))
    {
        self.metrics
            .gauge("berylhill_limits_met",
                   "Times that a limit of the listener of callers was met.",
                   {{"reason", it.reason}})
            .set(static_cast<double>(it.count));
    }
    to.set_content(self.metrics.text(), "text/plain; version=0.0.4");
}

} // namespace

void add_operator_api(http_router& router, entry_node& self)
{
    router.get(
        "/v1/status",
        [&self](httplib::Request const&, httplib::Response& to)
        { status(self, to); },
        handled::at_once);
    router.get(
        "/v1/health",
        [&self](httplib::Request const&, httplib::Response& to)
        { health(self, to); },
        handled::at_once);
    router.get(R"(/v1/traces/([0-9a-f]+))",
               [&self](httplib::Request const& request, httplib::Response& to)
               { trace(self, request.matches[1], to); });
    router.get(
        "/metrics",
        [&self](httplib::Request const&, httplib::Response& to)
        { metrics(self, to); },
        handled::at_once);
}

} // namespace berylhill::entry
