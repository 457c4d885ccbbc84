#include "figures.hpp"
#include "replay_schedulers.hpp"

#include <algorithm>
#include <array>

namespace berylhill::bench
{

namespace
{

constexpr std::array<std::uint64_t, 4> s_seeds{2026, 7, 91, 314};

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
        auto part = prefix;
        part.append(".").append(kind);
        print_figure(part + ".waiting_median", waiting.at(0.5), "s");
        print_figure(part + ".waiting_99th", waiting.at(0.99), "s");
    }
}

/// The worst over several seeds, so that no figure is one seed's luck.
struct worst
{
    double packing_over_first_fit{1e9};
    double waiting_99th_over_fifo{0};
    double overfull_s{0};
    double urgent_99th_s{0};
    std::int64_t unfinished{0};
};

void replay_all(replay_input const& input, bool all_figures, worst& least)
{
    auto const run = [&](std::string const& name, replay_scheduler& by)
    {
        auto result = run_replay(input, by);
        if (all_figures)
        {
            print("replay." + input.name + '.' + name, result);
        }
        return result;
    };
    own_scheduler own{input};
    baseline_scheduler first{input, baseline::first_fit};
    baseline_scheduler best{input, baseline::best_fit};
    baseline_scheduler fifo{input, baseline::fifo};
    auto const ours = run("own", own);
    auto const theirs = run("first_fit", first);
    auto const plain = run("fifo", fifo);
    if (all_figures)
    {
        run("best_fit", best);
    }
    least.packing_over_first_fit =
        std::min(least.packing_over_first_fit, ours.packing / theirs.packing);
    least.waiting_99th_over_fifo =
        std::max(least.waiting_99th_over_fifo,
                 ours.waiting.at(0.99) / plain.waiting.at(0.99));
    least.overfull_s = std::max(least.overfull_s, ours.overfull_s);
    least.unfinished = std::max(least.unfinished, ours.unfinished);
    auto const urgent = ours.waiting_by_kind.find("urgent");
    if (urgent != ours.waiting_by_kind.end())
    {
        least.urgent_99th_s =
            std::max(least.urgent_99th_s, urgent->second.at(0.99));
    }
}

void replay_seeds(std::string const& name,
                  replay_input (*make)(std::uint64_t seed))
{
    worst least;
    for (auto const seed : s_seeds)
    {
        replay_all(make(seed), seed == s_seeds.front(), least);
    }
    auto const prefix = "replay." + name + ".worst";
    print_figure(prefix + ".packing_over_first_fit",
                 least.packing_over_first_fit, "ratio");
    print_figure(prefix + ".waiting_99th_over_fifo",
                 least.waiting_99th_over_fifo, "ratio");
    print_figure(prefix + ".overfull", least.overfull_s, "worker_s");
    print_figure(prefix + ".urgent_waiting_99th", least.urgent_99th_s, "s");
    print_figure(prefix + ".unfinished", static_cast<double>(least.unfinished),
                 "tasks");
}

void replay_placement()
{
    replay_seeds("kitakaze", kitakaze_month_end);
    replay_seeds("cantabrica", cantabrica_race_day);
}

group_of_figures const s_group{"placement_replay", replay_placement};

} // namespace

} // namespace berylhill::bench
