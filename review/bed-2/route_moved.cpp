#include "cases.hpp"

#include <boost/json.hpp>

namespace berylhill::review
{

namespace
{

namespace json = boost::json;

constexpr char const* job = "00000000000000a1";
constexpr std::size_t instances = 8;
constexpr std::chrono::milliseconds work{6'000};
constexpr std::int64_t cpu_millis = 2'000;
constexpr std::size_t first_tasks = 4;

std::string configuration(int version, char const* service)
{
    return json::serialize(json::object{
        {"version", version},
        {"routes", json::array{json::object{{"name", "q"},
                                            {"hostname", "h"},
                                            {"pathPrefix", "/q/"},
                                            {"timeoutMs", 3'000},
                                            {"targetLatencyMs", 500},
                                            {"priority", 1},
                                            {"service", service},
                                            {"attempts", 2},
                                            {"stretch", 2}}}},
        {"services", json::array{json::object{{"name", "old"}, {"slots", 8}},
                                 json::object{{"name", "new"}, {"slots", 8}}}},
        {"limits", json::object{}}});
}

} // namespace

verdict route_moved(run_options const& options)
{
    bed it{options, {3, instances, work}};
    for (std::size_t n = 0; n < instances; ++n)
    {
        it.set_service(n, n < instances / 2 ? "old" : "new");
    }
    it.configure(configuration(1, "old"), "version 1: route q to service old");
    if (!it.all_ready())
    {
        it.note("the processes do not become ready");
        return verdict::could_not_run;
    }
    auto const path = std::string{"/q/"} + job;
    auto const accepted = it.call(
        0, network::http_method::post, path,
        platform_test::job_document(cpu_millis, work.count(), first_tasks));
    auto const first_step = std::string{job} + ".0.0";
    if (accepted.status != 200 ||
        !it.run_until([&] { return it.begun(first_step) == first_tasks; }, 5s))
    {
        it.note("the job is not accepted or does not begin");
        return verdict::could_not_run;
    }
    it.run_for(1s);
    if (options.trouble)
    {
        it.configure(configuration(2, "new"),
                     "version 2: route q to service new");
    }
    if (!it.run_until([&] { return it.done(first_step) == first_tasks; }, 20s))
    {
        it.note("the first step does not end");
        return verdict::could_not_run;
    }
    it.note("all tasks of the first step have ended done");
    it.run_until([&] { return it.begun(first_step) > first_tasks; }, 15s);
    it.run_until([&] { return it.running(job) == 0; }, 10s);
    it.run_for(2s);
    auto const again = it.begun(first_step) - first_tasks;
    it.run_until([&] { return it.done(std::string{job} + ".0.1") == 1; }, 20s);
    it.run_for(1s);
    auto const state = it.call(1, network::http_method::get, path);
    if (again > 0)
    {
        it.note("TWICE: " + std::to_string(again) +
                " tasks were started again after they had ended done");
        return verdict::broken;
    }
    if (state.body.find("completed") == std::string::npos)
    {
        it.note("the job is not completed");
        return verdict::could_not_run;
    }
    return verdict::held;
}

} // namespace berylhill::review
