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

constexpr std::chrono::milliseconds longest_watch = 30s;
constexpr std::chrono::milliseconds work = 100s;
constexpr std::chrono::milliseconds job_pause = 100ms;
constexpr char const* lasting_job = "00000000000000a1";
constexpr char const* lasting_target = "/report/00000000000000a1";
constexpr unsigned first_short_job = 1'000;
constexpr unsigned status_ok = 200;

std::string lasting_document()
{
    return R"({"taskSpec":"t","steps":[{"count":1,"cpu":4000,"memMb":500,)"
           R"("estimateMs":60000,"longRunning":true}]})";
}

std::string short_document()
{
    return R"({"taskSpec":"t","steps":[)"
           R"({"count":1,"cpu":1000,"memMb":10,"estimateMs":1000}]})";
}

int play(review::script_options const& how)
{
    review::world_size size;
    size.pools.push_back({"report", 8, work, true, false, "a", "r", true});
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
        it.lose(*place);
    }
    auto number = first_short_job;
    auto back = false;
    while (!back && std::chrono::steady_clock::now() - ended < longest_watch)
    {
        auto const id = "000000000000" + std::to_string(number);
        it.call(number % size.processes, network::http_method::post,
                "/report/" + id, short_document());
        ++number;
        back = it.run_until([&] { return it.running(lasting_job) > 0; },
                            job_pause);
    }
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
