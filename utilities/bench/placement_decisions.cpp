#include "bench_cell.hpp"
#include "figures.hpp"
#include "quantiles.hpp"

#include <malloc.h>

#include <chrono>
#include <functional>
#include <memory>

namespace berylhill::bench
{

namespace
{

constexpr std::uint64_t s_seed = 7;
constexpr std::int32_t s_samples = 40'000;
constexpr std::int32_t s_batch = 64;
constexpr cell_size s_today{50, 1'000, 2};
constexpr cell_size s_target{2'700, 53'000, 97};

double microseconds_of(std::function<void()> const& run)
{
    auto const from = std::chrono::steady_clock::now();
    run();
    return std::chrono::duration<double, std::micro>{
        std::chrono::steady_clock::now() - from}
        .count();
}

quantiles time_single(bench_cell& cell)
{
    quantiles times;
    for (std::int32_t n = 0; n < s_samples; ++n)
    {
        cell.end_one();
        cell.submit_one();
        cell.gossip();
        times.add(microseconds_of([&] { cell.decide(1); }));
    }
    return times;
}

double rate_of_batches(bench_cell& cell)
{
    double total_us = 0;
    std::int64_t started = 0;
    for (std::int32_t n = 0; n < s_samples / s_batch; ++n)
    {
        for (std::int32_t each = 0; each < s_batch; ++each)
        {
            cell.end_one();
            cell.submit_one();
        }
        cell.gossip();
        total_us += microseconds_of([&] { started += cell.decide(s_batch); });
    }
    return static_cast<double>(started) * 1e6 / total_us;
}

void print_size(std::string const& name, cell_size size)
{
    bench_cell cell{size, s_seed};
    auto const times = time_single(cell);
    auto const prefix = "decision." + name;
    print_figure(prefix + ".running", static_cast<double>(cell.running()),
                 "tasks");
    print_figure(prefix + ".median", times.at(0.5), "us");
    print_figure(prefix + ".99.9th", times.at(0.999), "us");
    print_figure(prefix + ".rate", rate_of_batches(cell), "decisions/s/core");
}

void print_slope(std::string const& name, std::vector<cell_size> const& sizes)
{
    for (auto const& it : sizes)
    {
        bench_cell cell{it, s_seed};
        print_figure("decision.slope." + name + ".workers_" +
                         std::to_string(it.workers) + ".tasks_" +
                         std::to_string(it.tasks) + ".contracts_" +
                         std::to_string(it.contracts) + ".median",
                     time_single(cell).at(0.5), "us");
    }
}

double bytes_of(cell_size size)
{
    auto const before = mallinfo2().uordblks;
    auto const cell = std::make_unique<bench_cell>(size, s_seed);
    return static_cast<double>(mallinfo2().uordblks - before);
}

void print_memory()
{
    auto const empty = bytes_of({50, 0, 97});
    auto const workers = bytes_of({2'700, 0, 97});
    auto const tasks = bytes_of(s_target);
    print_figure("memory.per_worker", (workers - empty) / (2'700 - 50),
                 "bytes");
    print_figure("memory.per_task", (tasks - workers) / s_target.tasks,
                 "bytes");
    print_figure("memory.at_target", tasks / 1e6, "MB");
}

/// 10,000 of 20,000 waiting jobs are cancelled at once.
void print_cancellations()
{
    constexpr std::int32_t waiting = 20'000;
    bench_cell cell{s_target, s_seed};
    std::vector<std::string> jobs;
    for (std::int32_t n = 0; n < waiting; ++n)
    {
        cell.submit_one();
        jobs.push_back(cell.last_job());
    }
    quantiles times;
    double all = 0;
    for (std::int32_t n = 0; n < waiting; n += 2)
    {
        auto const took = microseconds_of(
            [&] { cell.cancel(jobs[static_cast<std::size_t>(n)]); });
        times.add(took);
        all += took;
    }
    quantiles after;
    for (std::int32_t n = 0; n < waiting / 4; ++n)
    {
        cell.end_one();
        cell.gossip();
        after.add(microseconds_of([&] { cell.decide(1); }));
    }
    print_figure("cancellation.wave_of_10000", all / 1e3, "ms");
    print_figure("cancellation.99.9th", times.at(0.999), "us");
    print_figure("cancellation.decision_after.median", after.at(0.5), "us");
    print_figure("cancellation.decision_after.99.9th", after.at(0.999), "us");
}

void time_decisions()
{
    print_size("today", s_today);
    print_size("target", s_target);
    print_slope("workers",
                {{675, 13'000, 97}, {1'350, 13'000, 97}, {2'700, 13'000, 97}});
    print_slope(
        "tasks",
        {{2'700, 13'000, 97}, {2'700, 26'000, 97}, {2'700, 53'000, 97}});
    print_slope(
        "contracts",
        {{2'700, 53'000, 10}, {2'700, 53'000, 40}, {2'700, 53'000, 97}});
    print_memory();
    print_cancellations();
}

group_of_figures const s_group{"placement_decisions", time_decisions};

} // namespace

} // namespace berylhill::bench
