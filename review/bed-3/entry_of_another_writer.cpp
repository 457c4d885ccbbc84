#include "bed.hpp"

#include <boost/json.hpp>

#include <algorithm>

namespace berylhill::review
{

namespace
{

namespace json = boost::json;
using std::chrono::milliseconds;

/// `finish_s` of the small deployments, and the 3 s of the rule.
constexpr milliseconds finish_limit{14'000};
constexpr milliseconds idle_limit{3'000};

/// An entry under the key of an instance by a writer of another system: a
/// service that no configuration names.
std::string foreign_entry(std::uint16_t port)
{
    auto const now = std::chrono::duration_cast<milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    return json::serialize(json::object{
        {"service", "stock-agent"},
        {"address", "127.0.0.1:" + std::to_string(port)},
        {"zone", "a"},
        {"version", "v1"},
        {"slots", 1},
        {"state", "ready"},
        {"coldLeftMs", 0},
        {"sequence", 1},
        {"capacity", json::object{{"cpu", 1'000}, {"memMb", 500}, {"gpu", 0}}},
        {"labels", json::array{"k", "r"}},
        {"born", now.count()}});
}

} // namespace

verdict entry_of_another_writer(std::filesystem::path const& folder)
{
    constexpr std::size_t instance_count = 3;
    bed it{folder, instance_count, milliseconds{300}};
    it.begin();
    if (it.trouble())
    {
        auto const port = it.spare_port();
        for (auto const& each : it.instances)
        {
            it.store->put("keyed.servers", each->id(), foreign_entry(port));
            it.note("another writer writes servers/" + each->id() + ": " +
                    foreign_entry(port));
        }
    }
    // Each instance writes its own entry twice in this time.
    it.wait(milliseconds{4'000});
    std::vector<std::string> const jobs{"00000000000000b1", "00000000000000b2",
                                        "00000000000000b3"};
    constexpr unsigned ok = 200;
    for (std::size_t n = 0; n < jobs.size(); ++n)
    {
        if (it.submit(n, "q", jobs[n], {{}}) != ok)
        {
            throw not_runnable{"a job was not accepted"};
        }
    }
    auto const all_done = [&]
    {
        return std::ranges::all_of(jobs, [&](std::string const& id)
                                   { return it.done(id + ".0.0.0"); });
    };
    it.wait_until(all_done, finish_limit);
    it.wait(milliseconds{1'000});
    bool completed = true;
    for (std::size_t n = 0; n < jobs.size(); ++n)
    {
        completed = it.state(n, "q", jobs[n]) == "completed" && completed;
    }
    if (completed)
    {
        it.note("held: all jobs are completed");
        return verdict::held;
    }
    auto const runs =
        it.wait_until([&] { return it.anything_runs(); }, idle_limit);
    it.note(runs ? "held: something runs"
                 : "BROKEN: for 3 s nothing runs while accepted jobs wait and "
                   "all instances are idle");
    return runs ? verdict::held : verdict::broken;
}

} // namespace berylhill::review
