#include "bed.hpp"

namespace berylhill::review
{

namespace
{

using std::chrono::milliseconds;

/// `configApplyMs` and `finish_s` of the site, the 3 s of the rule, and how
/// soon a stopped process is started again.
constexpr milliseconds apply_limit{3'000};
constexpr milliseconds finish_limit{14'000};
constexpr milliseconds idle_limit{3'000};
constexpr milliseconds restart_pause{1'000};

/// How long each task takes.
constexpr milliseconds work{6'000};

/// What a configuration has after `big_config` with the site's count of 1,400
/// routes; on the bench such a one had 624 kB.
constexpr std::size_t large_configuration{600'000};

/// From the acknowledgement of the configuration until the client's request.
constexpr milliseconds request_delay{200};

} // namespace

verdict queue_unknown_to_owner(std::filesystem::path const& folder)
{
    constexpr std::size_t instance_count = 2;
    bed it{folder, instance_count, milliseconds{300}};
    // Machines of the site's sheet; the largest one owns the work.
    it.set_machine(0, 0.5, 10);
    it.set_machine(1, 0.25, 200);
    it.set_machine(2, 0.25, 200);
    it.begin();
    if (!it.wait_until([&] { return it.owner() == 0; }, finish_limit))
    {
        throw not_runnable{"the largest process doesn't own the work"};
    }
    it.wait(milliseconds{2'000});
    for (auto const& each : it.instances)
    {
        each->set_work(work);
    }
    it.configure({"q", "added"}, it.trouble() ? large_configuration : 0);
    it.wait(request_delay);
    std::string const job = "00000000000000c1";
    constexpr unsigned ok = 200;
    if (it.submit(1, "added", job, {{work.count(), -1}, {work.count(), 0}}) !=
        ok)
    {
        throw not_runnable{"the job was not accepted"};
    }
    it.wait(apply_limit);
    it.state(1, "added", job);
    it.configure({"q"});
    it.wait(apply_limit);
    if (!it.begun(job + ".0.0.0"))
    {
        throw not_runnable{"the first step has not begun"};
    }
    auto const stopped = it.owner();
    it.stop_process(stopped);
    it.wait(restart_pause);
    it.start_process(stopped);
    auto const first_done =
        it.wait_until([&] { return it.done(job + ".0.0.0"); }, finish_limit);
    it.note(first_done ? "the first step is done" : "no end of the first step");
    it.wait_until([&] { return it.done(job + ".0.1.0"); },
                  finish_limit + work + work);
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
