#include <harness/world.hpp>

#include <exception>
#include <iostream>
#include <string>

namespace
{

using namespace berylhill;
using namespace std::chrono_literals;

/// A task that lasts has to run again this long after its last run, and then
/// may not be away for `idle_span`.
constexpr std::chrono::milliseconds restart_time = 6s;
constexpr std::chrono::milliseconds idle_span = 3s;

/// How long the crashed instance is down. With the calm span of the rule it is
/// no longer than `restart_time`.
constexpr std::chrono::milliseconds down = 2s;

constexpr std::chrono::milliseconds longest_watch = 30s;
constexpr std::chrono::milliseconds work = 100s;
constexpr char const* lasting_job = "00000000000000a1";
constexpr char const* lasting_target = "/report/00000000000000a1";
constexpr unsigned status_ok = 200;

/// One task that lasts and needs an instance of the kind `b`.
std::string lasting_document()
{
    return R"({"taskSpec":"t","steps":[{"count":1,"cpu":4000,"memMb":500,)"
           R"("estimateMs":60000,"longRunning":true,"requirements":"b"}]})";
}

int play(review::script_options const& how)
{
    review::world_size size;
    size.pools.push_back({"report", 7, work, true, true, "a"});
    size.pools.push_back({"report", 1, work, true, true, "b", "r", true});
    review::world it{how, size};
    it.configure({{"report", "report"}});
    for (std::size_t n = 0; n < size.processes; ++n)
    {
        it.start(n);
    }
    if (!it.run_until([&] { return it.all_ready(); }, 15s) ||
        it.call(0, network::http_method::post, lasting_target,
                lasting_document()) != status_ok ||
        !it.run_until([&] { return it.running(lasting_job) > 0; }, 10s))
    {
        return review::could_not_run;
    }
    it.run_for(10s);
    auto const place = it.place_of(lasting_job);
    if (!place)
    {
        return review::could_not_run;
    }
    auto const ended = std::chrono::steady_clock::now();
    if (how.trouble)
    {
        it.crash(*place);
        it.run_for(down);
        it.start_again(*place);
    }
    it.run_until([&] { return it.running(lasting_job) > 0; }, longest_watch);
    auto const away = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - ended);
    it.record("the task was away for " + std::to_string(away.count()) + " ms");
    return away >= restart_time + idle_span ? review::rule_broken
                                            : review::rule_held;
}

} // namespace

int main(int count, char** arguments)
{
    try
    {
        return play(review::options_from(count, arguments));
    }
    catch (std::exception const& it)
    {
        std::cerr << it.what() << '\n';
        return review::could_not_run;
    }
}
