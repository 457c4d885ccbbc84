#include "cases.hpp"

namespace berylhill::review
{

namespace
{

constexpr char const* job = "00000000000000a1";
constexpr char const* kind = "gpu";
constexpr std::chrono::milliseconds work{20'000};

/// As long as the site file cuts minions off, and what lies between.
constexpr std::chrono::milliseconds cut{5'500};
constexpr std::chrono::milliseconds between{2'500};
constexpr int most_cuts = 9;

/// `holdMaxMs` of crs-handicap.
constexpr std::int64_t longest_lease_ms = 6'000;

} // namespace

verdict failing_link(run_options const& options)
{
    bed it{options, {3, 8, work, longest_lease_ms}};
    it.configure({"q"});
    it.set_kind(0, kind);
    if (!it.all_ready())
    {
        it.note("the processes do not become ready");
        return verdict::could_not_run;
    }
    auto const path = std::string{"/q/"} + job;
    auto const accepted =
        it.call(0, network::http_method::post, path,
                R"({"taskSpec":"t","steps":[{"count":1,"cpu":2000,"memMb":100,)"
                R"("estimateMs":20000,"requirements":"gpu"}]})");
    auto const runs = [&]
    {
        return it.running(job) == 1;
    };
    if (accepted.status != 200 || !it.run_until(runs, 5s))
    {
        it.note("the job is not accepted or does not begin");
        return verdict::could_not_run;
    }
    it.run_for(between);
    for (int n = 0; options.trouble && n < most_cuts; ++n)
    {
        it.cut(0, true);
        it.run_for(cut);
        it.cut(0, false);
        it.run_until(runs, 3s);
        it.run_for(between);
        auto const state = it.call(1, network::http_method::get, path);
        if (state.body.find("failed") != std::string::npos)
        {
            it.note("LOST: the job is shown as failed; no run of its task has "
                    "ended failed, and no minion has crashed");
            return verdict::broken;
        }
    }
    answer state;
    auto const completed = it.run_until(
        [&]
        {
            it.run_for(1s);
            state = it.call(1, network::http_method::get, path);
            return state.body.find("completed") != std::string::npos;
        },
        30s);
    return completed ? verdict::held : verdict::could_not_run;
}

} // namespace berylhill::review
