#include "figures.hpp"
#include "replay_schedulers.hpp"

#include <functional>

namespace berylhill::bench
{

namespace
{

constexpr std::uint64_t s_seed = 2026;

void print(std::string const& prefix, replay_result const& it)
{
    constexpr double percent = 100;
    print_figure(prefix + ".packing", it.packing * percent, "%");
    print_figure(prefix + ".end", it.end_s, "s");
    print_figure(prefix + ".overfull", it.overfull_s, "worker_s");
    print_figure(prefix + ".checkpoints", static_cast<double>(it.checkpoints),
                 "tasks");
    print_figure(prefix + ".unfinished", static_cast<double>(it.unfinished),
                 "tasks");
    print_figure(prefix + ".waiting_median", it.waiting.at(0.5), "s");
    print_figure(prefix + ".waiting_99th", it.waiting.at(0.99), "s");
    for (auto const& [kind, waiting] : it.waiting_by_kind)
    {
        auto const part = prefix + '.' + kind;
        print_figure(part + ".waiting_median", waiting.at(0.5), "s");
        print_figure(part + ".waiting_99th", waiting.at(0.99), "s");
    }
}

void replay_all(replay_input const& input)
{
    auto const run = [&](std::string const& name, replay_scheduler& by)
    {
        auto result = run_replay(input, by);
        print("replay." + input.name + "." + name, result);
        return result;
    };
    own_scheduler own{input};
    baseline_scheduler first{input, baseline::first_fit};
    baseline_scheduler best{input, baseline::best_fit};
    baseline_scheduler fifo{input, baseline::fifo};
    auto const ours = run("own", own);
    auto const theirs = run("first_fit", first);
    run("best_fit", best);
    auto const plain = run("fifo", fifo);
    print_figure("replay." + input.name + ".packing_over_first_fit",
                 ours.packing / theirs.packing, "ratio");
    print_figure("replay." + input.name + ".waiting_99th_over_fifo",
                 ours.waiting.at(0.99) / plain.waiting.at(0.99), "ratio");
}

void replay_placement()
{
    replay_all(kitakaze_month_end(s_seed));
    replay_all(cantabrica_race_day(s_seed));
}

group_of_figures const s_group{"placement_replay", replay_placement};

} // namespace

} // namespace berylhill::bench
