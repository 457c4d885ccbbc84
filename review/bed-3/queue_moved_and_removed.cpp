#include "bed.hpp"

#include <cstddef>

namespace berylhill::review
{

namespace
{

using std::chrono::milliseconds;

/// `configApplyMs` and `finish_s` of the small deployments, the 3 s of the
/// rule, and how soon a stopped process is started again.
constexpr milliseconds apply_limit{2'000};
constexpr milliseconds finish_limit{14'000};
constexpr milliseconds idle_limit{3'000};
constexpr milliseconds restart_pause{1'000};

/// How long each task takes.
constexpr milliseconds work{12'000};

/// What the second step needs, and what the instances of the second service
/// have; those of the first one have 8 cores.
constexpr std::int64_t large_need{12'000};
constexpr std::int64_t large_room{16'000};

constexpr char const* second_service = "large";

} // namespace

verdict queue_moved_and_removed(std::filesystem::path const& folder)
{
    constexpr std::size_t instance_count = 4;
    bed it{folder, instance_count, milliseconds{300}};
    for (std::size_t n = instance_count / 2; n < instance_count; ++n)
    {
        it.instances[n]->set_service(second_service);
        it.instances[n]->set_cpu(large_room);
        it.note(it.instances[n]->id() +
                " is of the service large and has 16 cores");
    }
    it.begin();
    for (auto const& each : it.instances)
    {
        each->set_work(work);
    }
    std::string const job = "00000000000000f1";
    constexpr unsigned ok = 200;
    if (it.submit(0, "q", job,
                  {{work.count(), -1}, {work.count(), 0, 1, large_need}}) != ok)
    {
        throw not_runnable{"the job was not accepted"};
    }
    it.wait(milliseconds{1'000});
    it.configure({"q"}, std::string{second_service});
    it.wait(apply_limit + milliseconds{500});
    it.configure({"other"}, std::string{second_service});
    it.wait(apply_limit + milliseconds{500});
    if (!it.begun(job + ".0.0.0") || it.done(job + ".0.0.0"))
    {
        throw not_runnable{"the first step does not run"};
    }
    if (it.trouble())
    {
        auto const stopped = it.owner();
        it.stop_process(stopped);
        it.wait(restart_pause);
        it.start_process(stopped);
    }
    auto const first_done =
        it.wait_until([&] { return it.done(job + ".0.0.0"); }, finish_limit);
    it.note(first_done ? "the first step is done" : "no end of the first step");
    it.wait_until([&] { return it.done(job + ".0.1.0"); }, finish_limit + work);
    if (it.done(job + ".0.1.0"))
    {
        it.note("held: both steps are done");
        return verdict::held;
    }
    auto const runs =
        it.wait_until([&] { return it.anything_runs(); }, idle_limit);
    it.note(runs ? "held: something runs"
                 : "BROKEN: for 3 s nothing of the accepted job runs while the "
                   "turn of its second step has come and all instances are "
                   "idle");
    return runs ? verdict::held : verdict::broken;
}

} // namespace berylhill::review
