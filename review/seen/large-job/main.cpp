#include <harness/world.hpp>

#include <stand_ins/documents.hpp>

#include <algorithm>
#include <exception>
#include <iostream>
#include <string>

namespace
{

using namespace berylhill;
using namespace std::chrono_literals;

/// `finish_s`, and the span in which nothing may run, of the rule.
constexpr std::chrono::milliseconds finish = 14s;
constexpr std::chrono::milliseconds idle_span = 3s;

constexpr char const* small_job = "00000000000000a1";
constexpr char const* small_target = "/report/00000000000000a1";
constexpr char const* large_job = "00000000000000b2";
constexpr char const* large_target = "/batch/00000000000000b2";
constexpr char const* later_target = "/report/00000000000000c3";
constexpr int last_step = 1;

/// Tasks of each of the large job's two wide steps, with and without the
/// disruption. The product takes 10,000 in a step.
constexpr int many_tasks = 6'000;
constexpr int few_tasks = 3'000;

constexpr unsigned status_ok = 200;
constexpr std::int64_t cpu_millis = 500;
constexpr std::int64_t estimate_ms = 15'000;

/// One task that prepares, and two steps of many that follow it.
std::string large_document(int tasks)
{
    auto const wide = R"({"count":)" + std::to_string(tasks) +
                      R"(,"cpu":20,"memMb":6,"estimateMs":6000,"after":[0]})";
    return R"({"taskSpec":"t","steps":[)"
           R"({"count":1,"cpu":20,"memMb":6,"estimateMs":6000},)" +
           wide + "," + wide + "]}";
}

unsigned
submit(review::world& it, std::string const& target, std::string const& body)
{
    return it.call(0, network::http_method::post, target, body);
}

int play(review::script_options const& how)
{
    review::world_size size;
    size.pools.push_back({"batch", 10, 6s, false});
    size.pools.push_back({"report", 2, 15s, true});
    review::world it{how, size};
    it.configure({{"batch", "batch"}, {"report", "report"}});
    for (std::size_t n = 0; n < size.processes; ++n)
    {
        it.start(n);
    }
    auto const small = platform_test::job_document(cpu_millis, estimate_ms);
    if (!it.run_until([&] { return it.all_ready(); }, 15s) ||
        submit(it, small_target, small) != status_ok ||
        !it.run_until([&] { return it.starts(small_job, 0) == 2; }, 10s) ||
        submit(it, large_target,
               large_document(how.trouble ? many_tasks : few_tasks)) !=
            status_ok)
    {
        return review::could_not_run;
    }
    it.run_for(9s);
    it.record("of the large job run " + std::to_string(it.running(large_job)));
    submit(it, later_target, small);
    if (!it.run_until([&] { return it.done(small_job, 0) == 2; }, 20s))
    {
        return review::could_not_run;
    }
    it.record("the traffic has ended; the first step of " +
              std::string{small_job} +
              " is done, so its second step's turn has come");
    it.run_until([&] { return it.starts(small_job, last_step) > 0; }, finish);
    it.run_until([&] { return it.starts(small_job, last_step) > 0; },
                 idle_span);
    it.call(1, network::http_method::get, small_target);
    it.record("of the large job run " + std::to_string(it.running(large_job)) +
              ", of the small one " + std::to_string(it.running(small_job)) +
              "; appends rejected: " + std::to_string(it.rejected_appends()));
    auto const held = it.starts(small_job, last_step) > 0;
    it.record(held ? "the second step was started: the rule held"
                   : "nothing of the job runs: LOST");
    return held ? review::rule_held : review::rule_broken;
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
