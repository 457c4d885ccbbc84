#include "bed.hpp"

namespace berylhill::review
{

namespace
{

using platform_test::link_state;
using std::chrono::milliseconds;

/// `configApplyMs` and `finish_s` of the small deployments, the 3 s of the
/// rule, and how soon a killed process is started again.
constexpr milliseconds apply_limit{2'000};
constexpr milliseconds finish_limit{14'000};
constexpr milliseconds idle_limit{3'000};
constexpr milliseconds restart_pause{1'000};

/// How long each task takes.
constexpr milliseconds work{5'000};

} // namespace

verdict queue_unknown_to_owner(std::filesystem::path const& folder)
{
    constexpr std::size_t instance_count = 2;
    bed it{folder, instance_count, milliseconds{300}};
    it.begin();
    for (auto const& each : it.instances)
    {
        each->set_work(work);
    }
    auto const owner = it.owner();
    auto const entry = (owner + 1) % bed::processes;
    if (it.trouble())
    {
        it.note("the open connections of edge-" + std::to_string(owner) +
                " to the store go silent; new ones work");
        it.links[owner]->set(link_state::silent);
        it.links[owner]->set(link_state::open);
    }
    it.configure({"q", "added"});
    it.wait(milliseconds{100});
    std::string const job = "00000000000000c1";
    constexpr unsigned ok = 200;
    if (it.submit(entry, "added", job,
                  {{work.count(), -1}, {work.count(), 0}}) != ok)
    {
        throw not_runnable{"the job was not accepted"};
    }
    it.wait(apply_limit);
    it.state(entry, "added", job);
    it.configure({"q"});
    it.wait(apply_limit + milliseconds{500});
    if (!it.begun(job + ".0.0.0"))
    {
        throw not_runnable{"the first step has not begun"};
    }
    auto const killed = it.owner();
    it.kill_process(killed);
    it.wait(restart_pause);
    it.start_process(killed);
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
