#include <harness/world.hpp>

#include <algorithm>
#include <array>
#include <cstdint>
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

/// The rule looks at spans that are calm, and calm for so long before.
constexpr std::chrono::milliseconds calm_before = 4s;

constexpr char const* lasting_job = "00000000000000a1";
constexpr char const* lasting_target = "/report/00000000000000a1";
constexpr std::uint64_t first_short_job = 0xB000;

/// The instances hold 64 tasks of 4 cores, 16 a second.
constexpr std::chrono::milliseconds work = 4s;
constexpr std::chrono::milliseconds job_pause = 500ms;
/// Tasks of each job: 14 a second, and 2.3 times as many in the burst.
constexpr int usual_tasks = 7;
constexpr int burst_tasks = 16;
constexpr std::chrono::milliseconds burst_from = 26s;
constexpr std::chrono::milliseconds burst_to = 30s;
constexpr std::chrono::milliseconds traffic = 70s;
constexpr unsigned status_ok = 200;

std::string job_document(int tasks, int estimate_ms, bool lasts)
{
    return R"({"taskSpec":"t","steps":[{"count":)" + std::to_string(tasks) +
           R"(,"cpu":4000,"memMb":500,"estimateMs":)" +
           std::to_string(estimate_ms) +
           (lasts ? R"(,"longRunning":true}]})" : "}]}");
}

std::string id_of(std::uint64_t number)
{
    constexpr char const* digits = "0123456789abcdef";
    constexpr int id_digits = 16;
    constexpr std::uint64_t base = 16;
    std::string out(id_digits, '0');
    for (auto it = out.rbegin(); it != out.rend(); ++it, number /= base)
    {
        *it = digits[number % base];
    }
    return out;
}

int play(review::script_options const& how)
{
    review::world_size size;
    size.pools.push_back({"report", 8, work, false});
    review::world it{how, size};
    it.configure({{"report", "report"}, {"check", "report"}});
    for (std::size_t n = 0; n < size.processes; ++n)
    {
        it.start(n);
    }
    constexpr int lasting_tasks = 2;
    if (!it.run_until([&] { return it.all_ready(); }, 15s) ||
        it.call(0, network::http_method::post, lasting_target,
                job_document(lasting_tasks, work.count(), true)) != status_ok ||
        !it.run_until([&] { return it.starts(lasting_job, 0) >= 2; }, 10s))
    {
        return review::could_not_run;
    }
    auto const began = std::chrono::steady_clock::now();
    auto away_since = began;
    auto longest_away = 0ms;
    auto broken = false;
    auto number = first_short_job;
    while (std::chrono::steady_clock::now() - began < traffic)
    {
        auto const at = std::chrono::steady_clock::now() - began;
        auto const burst = how.trouble && at >= burst_from && at < burst_to;
        it.call(number % size.processes, network::http_method::post,
                "/check/" + id_of(number),
                job_document(burst ? burst_tasks : usual_tasks, work.count(),
                             false));
        ++number;
        auto const until = std::chrono::steady_clock::now() + job_pause;
        while (std::chrono::steady_clock::now() < until)
        {
            it.run_for(20ms);
            auto const now = std::chrono::steady_clock::now();
            if (it.running(lasting_job) > 0)
            {
                away_since = now;
            }
            auto const away =
                std::chrono::duration_cast<std::chrono::milliseconds>(
                    now - away_since);
            longest_away = std::max(longest_away, away);
            auto const calm = now - began >= burst_to + calm_before + idle_span;
            if (!broken && calm && away >= restart_time + idle_span)
            {
                broken = true;
                it.record("no task of the lasting job has run for " +
                          std::to_string(away.count()) +
                          " ms, the burst is over for more than 7 s: LOST");
            }
        }
    }
    it.record("no task of the lasting job ran for " +
              std::to_string(longest_away.count()) + " ms on end");
    it.record(broken ? "the rule is broken" : "the rule held");
    return broken ? review::rule_broken : review::rule_held;
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
