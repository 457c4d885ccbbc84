#include <tests/conformance/probe.hpp>

#include <api/paths.hpp>

#include <iostream>

using namespace berylhill;
using command::encoded;
using command::get;
using command::post;
using command::repeat;

namespace
{

constexpr char const* s_contract = "conformance";

Json::Value apply_body(Json::Value const& based_on, double weight)
{
    Json::Value contract{Json::objectValue};
    contract["name"] = s_contract;
    contract["side"] = "sapporo";
    contract["weight"] = weight;
    contract["services"].append("report-svc");
    Json::Value out{Json::objectValue};
    out["id"] = "conformance-" + std::to_string(weight) + "-" +
                std::to_string(based_on.asInt64());
    out["based_on"] = based_on;
    out["operator"] = "conformance";
    out["contracts"].append(contract);
    out["remove"] = Json::Value{Json::arrayValue};
    return out;
}

void ask_contracts(tests::probe& it)
{
    tests::operation const apply{"POST", "/v1/contracts/apply"};
    auto const before =
        it.ask({"GET", "/v1/contracts"}, get(api::s_contracts), 200);
    auto const first = apply_body(before["offset"], 2);
    auto const won = it.ask(
        apply, post(api::s_contracts_apply, first, repeat::harmless), 200);
    // The same id again, as after a lost answer: the same verdict.
    auto const again = it.ask(
        apply, post(api::s_contracts_apply, first, repeat::harmless), 200);
    if (won["offset"] != again["offset"])
    {
        it.note(apply, "a repeated id got another verdict");
    }
    it.ask(apply,
           post(api::s_contracts_apply, apply_body(before["offset"], 3),
                repeat::harmless),
           409);
    it.ask(apply,
           post(api::s_contracts_apply, apply_body(before["offset"], -1),
                repeat::harmless),
           400);
    auto const history = std::string{"/v1/contracts/"};
    it.ask({"GET", "/v1/contracts/{name}/history"},
           get(history + s_contract + "/history"), 200);
    it.ask({"GET", "/v1/contracts/{name}/history"},
           get(history + "nobody/history"), 404);
}

Json::Value job_body()
{
    Json::Value out{Json::objectValue};
    out["contract"] = s_contract;
    out["name"] = "conformance";
    out["declared"]["millicores"] = 100;
    out["declared"]["memory_mb"] = 64;
    out["declared_run_s"] = 1;
    return out;
}

void ask_jobs(tests::probe& it)
{
    tests::operation const submit{"POST", "/v1/jobs"};
    tests::operation const show{"GET", "/v1/jobs/{id}"};
    auto const job =
        it.ask(submit, post(api::s_jobs, job_body(), repeat::harmless), 202);
    it.ask(submit, post(api::s_jobs, Json::objectValue, repeat::harmless), 400);
    auto const path =
        std::string{api::s_jobs} + "/" + encoded(job["id"].asString());
    it.ask(show, get(path + "?wait_ms=2000"), 200);
    it.ask(show, get(std::string{api::s_jobs} + "/nobody"), 404);
    it.ask({"GET", "/v1/jobs"}, get(api::s_jobs), 200);
    it.ask({"POST", "/v1/jobs/{id}/cancel"},
           post(path + "/cancel", Json::objectValue, repeat::harmless), 200);
}

command::entry_request with_contract(command::entry_request it,
                                     std::string const& name)
{
    it.headers.push_back({api::s_contract_header, name});
    return it;
}

void ask_services(tests::probe& it)
{
    tests::operation const read{"GET", "/v1/services/{service}/{rest}"};
    tests::operation const write{"POST", "/v1/services/{service}/{rest}"};
    auto const path = std::string{api::s_services} + "/report-svc/on-now";
    it.ask(read, with_contract(get(path), s_contract), 200);
    it.ask(read, with_contract(get(path), "nobody"), 403);
    it.ask(read, get(path), 400);
    it.ask(write,
           with_contract(post(path, Json::objectValue, repeat::harmless),
                         s_contract),
           200);
}

void ask_stops(tests::probe& it)
{
    Json::Value body{Json::objectValue};
    body["kind"] = "worker";
    body["id"] = "w-1";
    body["operator"] = "conformance";
    tests::operation const announce{"POST", "/v1/stops"};
    tests::operation const show{"GET", "/v1/stops/{kind}/{id}"};
    it.ask(announce, post(api::s_stops, body, repeat::harmless), 202);
    body["kind"] = "boat";
    it.ask(announce, post(api::s_stops, body, repeat::harmless), 400);
    it.ask(show, get("/v1/stops/worker/w-1"), 200);
    it.ask(show, get("/v1/stops/worker/nobody"), 404);
}

void ask_observation(tests::probe& it)
{
    it.ask({"GET", "/v1/status"}, get(api::s_status), 200);
    it.ask({"GET", "/v1/traces/{trace_id}"},
           get("/v1/traces/0af7651916cd43dd8448eb211c80319c"), 200);
    it.ask({"GET", "/v1/health"}, get(api::s_health), 200);
    it.ask({"GET", "/metrics"}, get(api::s_metrics), 200);
}

} // namespace

/// usage: conformance IP:PORT, of an entry with a worker w-1 and a minion of
/// report-svc. Exit status 0 where all answers are as docs/openapi.json says.
int main(int argc, char** argv)
{
    if (argc != 2)
    {
        std::cerr << "usage: conformance IP:PORT\n";
        return 2;
    }
    tests::probe it{argv[1], tests::read_openapi(BERYLHILL_SOURCE_DIR
                                                 "/docs/openapi.json")};
    ask_contracts(it);
    ask_jobs(it);
    ask_services(it);
    ask_stops(it);
    ask_observation(it);
    for (auto const& line : it.found())
    {
        std::cout << line << '\n';
    }
    for (auto const& operation : it.unasked())
    {
        std::cout << operation.method << ' ' << operation.path
                  << ": not asked\n";
    }
    return it.found().empty() && it.unasked().empty() ? 0 : 1;
}
