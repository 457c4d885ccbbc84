#include "cases.hpp"

#include <csignal>

namespace berylhill::review
{

namespace
{

constexpr char const* job = "00000000000000a1";
constexpr char const* later_job = "00000000000000b1";
constexpr std::chrono::milliseconds work{6'000};
constexpr std::int64_t cpu_millis = 2'000;
constexpr std::size_t first_tasks = 4;

/// The rule: so long after the end of the traffic jobs are asked for, and for
/// so long nothing of the job may be missing that could run.
constexpr double finish_s = 14;
constexpr double missing_s = 3;

} // namespace

verdict route_taken_out(run_options const& options)
{
    bed it{options, {3, 6, work}};
    it.configure({"a", "b"});
    if (!it.all_ready())
    {
        it.note("the processes do not become ready");
        return verdict::could_not_run;
    }
    auto const body =
        platform_test::job_document(cpu_millis, work.count(), first_tasks);
    auto const path_of_job = std::string{"/a/"} + job;
    auto const accepted =
        it.call(0, network::http_method::post, path_of_job, body);
    auto const first_step = std::string{job} + ".0.0";
    auto const second_step = std::string{job} + ".0.1";
    if (accepted.status != 200 ||
        !it.run_until([&] { return it.begun(first_step) == first_tasks; }, 5s))
    {
        it.note("the job is not accepted or does not begin");
        return verdict::could_not_run;
    }
    it.configure({"b"});
    // A version is in force 2 s after its acknowledgement.
    it.run_for(2'500ms);
    auto const owner = it.owner();
    if (!owner)
    {
        it.note("no owner");
        return verdict::could_not_run;
    }
    it.note("process " + std::to_string(*owner) + " owns the work");
    if (options.trouble)
    {
        it.signal(*owner, SIGTERM);
        if (!it.start_again(*owner))
        {
            it.note("the stopped process does not end");
            return verdict::could_not_run;
        }
    }
    // The other route is served all the time.
    auto const last_send = it.now();
    auto const beside = it.call((*owner + 1) % 3, network::http_method::post,
                                std::string{"/b/"} + later_job, body);
    // Judged from `finish_s` after the last send: nothing of the job runs for
    // `missing_s` while its second step's turn has come.
    std::optional<double> missing_since;
    auto broken = false;
    it.run_until(
        [&]
        {
            auto const ended = it.begun(second_step) > 0;
            auto const judged = it.now() > last_send + finish_s;
            if (ended || it.running(job) > 0 || !judged)
            {
                missing_since.reset();
                return ended && it.running(job) == 0 && judged;
            }
            missing_since = missing_since.value_or(it.now());
            broken = it.now() - *missing_since > missing_s;
            return broken;
        },
        40s);
    auto const completed = it.call((*owner + 1) % 3, network::http_method::get,
                                   std::string{"/b/"} + later_job);
    it.note("tasks of the second step that have begun: " +
            std::to_string(it.begun(second_step)));
    if (broken)
    {
        it.note("LOST: for 3 s nothing of the accepted job runs, its second "
                "step's turn has come, and all minions are idle");
        it.configure({"b", "a"});
        it.run_for(3s);
        it.call((*owner + 1) % 3, network::http_method::get, path_of_job);
        it.note("with the route back: tasks of the second step that have "
                "begun: " +
                std::to_string(it.begun(second_step)));
    }
    if (beside.status != 200 ||
        completed.body.find("completed") == std::string::npos)
    {
        it.note("the job beside it was not served");
        return verdict::could_not_run;
    }
    return broken ? verdict::broken : verdict::held;
}

} // namespace berylhill::review
