#include "bed.hpp"
#include "instance_link.hpp"

#include <algorithm>

namespace berylhill::review
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds work{10'000};

constexpr milliseconds client_limit{3'000};

/// For how long two runs are looked for.
constexpr milliseconds watch_time{20'000};

using links = std::vector<std::unique_ptr<instance_link>>;

/// The link that has lost a start; null while none has.
instance_link* link_that_lost(links const& all)
{
    auto const at = std::ranges::find_if(all, [](auto const& it)
                                         { return it->lost_one(); });
    return at == all.end() ? nullptr : at->get();
}

} // namespace

verdict start_sent_twice(std::filesystem::path const& folder)
{
    constexpr std::size_t instance_count = 2;
    constexpr unsigned ok = 200;
    bed it{folder, instance_count, milliseconds{300}};
    links between;
    for (std::size_t n = 0; n < it.instances.size(); ++n)
    {
        auto const port = it.spare_port();
        between.push_back(std::make_unique<instance_link>(it, n, port));
        it.announce_at(n, port);
    }
    it.begin();
    it.wait(milliseconds{2'000});
    // One task on each instance, so that each has had a start.
    std::string const second = "00000000000000d1";
    if (it.submit(0, "q", second, {{300, -1, 2, 1}}) != ok ||
        !it.wait_until(
            [&] {
                return it.done(second + ".0.0.0") && it.done(second + ".0.0.1");
            },
            work))
    {
        throw not_runnable{"the second job was not carried out"};
    }
    it.wait(milliseconds{1'500});
    for (auto const& each : it.instances)
    {
        each->set_work(work);
    }
    for (auto const& each : between)
    {
        each->set_armed(it.trouble());
    }
    std::string const job = "00000000000000d2";
    auto const task = job + ".0.0.0";
    if (it.submit(1, "q", job, {{work.count()}}) != ok)
    {
        throw not_runnable{"the job was not accepted"};
    }
    it.wait_until([&] { return it.begun(task); }, client_limit);
    for (auto const& each : between)
    {
        each->set_armed(false);
    }
    it.wait(milliseconds{1'000});
    if (auto* const lost = link_that_lost(between); lost != nullptr)
    {
        lost->crash(milliseconds{0});
    }
    auto const twice =
        it.wait_until([&] { return it.runs_on(task).size() > 1; }, watch_time);
    if (twice)
    {
        std::string where;
        for (auto const& each : it.runs_on(task))
        {
            where += " " + each;
        }
        it.note("BROKEN: two runs of " + task + " at the same time, on" +
                where);
        it.wait(milliseconds{3'000});
        return verdict::broken;
    }
    it.note("held: never two runs of the task at the same time");
    return verdict::held;
}

} // namespace berylhill::review
