#include <harness/world.hpp>

#include <stand_ins/documents.hpp>

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
constexpr char const* scheduled_job = "00000000000000b2";
constexpr char const* scheduled_target = "/batch/00000000000000b2";
constexpr char const* later_target = "/report/00000000000000c3";
constexpr int last_step = 1;

/// The scheduled job: three steps of 60 tasks each, five times a second.
constexpr std::chrono::milliseconds work = 300ms;
constexpr std::chrono::milliseconds interval = 200ms;
constexpr std::int64_t many_times = 500;
constexpr std::int64_t few_times = 100;

/// When the state of the scheduled job has grown so far, or after this time,
/// the small job is handed in. Its first step is at work for longer than the
/// state takes to grow to the limit.
constexpr std::size_t grown_bytes = 200'000;
constexpr std::chrono::milliseconds longest_growth = 50s;
constexpr std::chrono::milliseconds growth_of_few_times = 32s;
constexpr std::chrono::milliseconds small_work = 42s;

constexpr unsigned status_ok = 200;
constexpr std::int64_t cpu_millis = 500;

std::string scheduled_document(std::int64_t times)
{
    auto const now = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    constexpr char const* step =
        R"({"count":60,"cpu":100,"memMb":10,"estimateMs":300)";
    return R"({"taskSpec":"t","repeatCount":)" + std::to_string(times) +
           R"(,"firstMs":)" + std::to_string(now.count()) +
           R"(,"intervalMs":)" + std::to_string(interval.count()) +
           R"(,"steps":[)" + step + "}," + step + R"(,"after":[0]},)" + step +
           R"(,"after":[1]}]})";
}

bool submit(review::world& it,
            std::string const& target,
            std::string const& body)
{
    return it.call(0, network::http_method::post, target, body) == status_ok;
}

int play(review::script_options const& how)
{
    review::world_size size;
    size.pools.push_back({"batch", 10, work, false});
    size.pools.push_back({"report", 2, small_work, true});
    review::world it{how, size};
    it.configure({{"batch", "batch"}, {"report", "report"}});
    for (std::size_t n = 0; n < size.processes; ++n)
    {
        it.start(n);
    }
    auto const small =
        platform_test::job_document(cpu_millis, small_work.count());
    if (!it.run_until([&] { return it.all_ready(); }, 15s) ||
        !submit(it, scheduled_target,
                scheduled_document(how.trouble ? many_times : few_times)))
    {
        return review::could_not_run;
    }
    it.run_until([&] { return it.state_bytes(scheduled_job) >= grown_bytes; },
                 how.trouble ? longest_growth : growth_of_few_times);
    it.record("the state of the scheduled job has " +
              std::to_string(it.state_bytes(scheduled_job)) + " bytes");
    if (!submit(it, small_target, small) ||
        !it.run_until([&] { return it.starts(small_job, 0) == 2; }, 5s))
    {
        return review::could_not_run;
    }
    if (!it.run_until([&] { return it.done(small_job, 0) == 2; },
                      small_work + 5s))
    {
        return review::could_not_run;
    }
    it.record("the traffic has ended; the first step of " +
              std::string{small_job} +
              " is done, so its second step's turn has come; of the scheduled "
              "job have ended " +
              std::to_string(it.done(scheduled_job)) + " tasks, " +
              std::to_string(it.running(scheduled_job)) + " run");
    auto const began = [&]
    {
        return it.starts(small_job, last_step) > 0;
    };
    it.run_for(finish);
    auto const works =
        it.run_until([&] { return it.running(scheduled_job) > 0; }, idle_span);
    it.call(1, network::http_method::get, small_target);
    it.call(1, network::http_method::get, scheduled_target);
    auto const completed = it.answer().find("completed") != std::string::npos;
    it.call(1, network::http_method::post, later_target, small);
    it.record("appends rejected: " + std::to_string(it.rejected_appends()));
    auto const small_held = began();
    auto const scheduled_held = works || completed;
    it.record(small_held ? "the second step of the small job was started"
                         : "from finish_s on nothing of the small job runs for "
                           "3 s, its minions are idle: LOST");
    it.record(scheduled_held ? "the scheduled job works or is completed"
                             : "from finish_s on nothing of the scheduled job "
                               "runs for 3 s, its minions are idle: LOST");
    return small_held && scheduled_held ? review::rule_held
                                        : review::rule_broken;
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
