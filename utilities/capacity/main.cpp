#include "usage.hpp"

#include <model/json.hpp>
#include <platform/http_pool.hpp>
#include <scenario/api_client.hpp>
#include <scenario/cell.hpp>

#include <cxxopts.hpp>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <memory>
#include <numeric>
#include <string>
#include <thread>
#include <vector>

/// Measures what an entry costs by the numbers of workers, entries and running
/// tasks, on real processes over loopback; docs/CAPACITY.md works from it.
using namespace berylhill;

namespace
{

constexpr auto s_settle = std::chrono::seconds{8};
constexpr int s_measure_s = 10;
constexpr int s_rack = 8;
constexpr int s_minions = 48;
constexpr double s_percent = 100;
constexpr double s_bytes_per_kb = 1000;

/// One point of a slope. A value.
struct point
{
    std::string name;
    int entries{3};
    int workers{48};
    int tasks{0};
};

std::vector<point> const s_points{
    {"workers-48", 3, 48, 0},      {"workers-144", 3, 144, 0},
    {"workers-480", 3, 480, 0},    {"entries-6", 6, 48, 0},
    {"entries-9", 9, 48, 0},       {"tasks-1000", 3, 144, 1'000},
    {"tasks-4000", 3, 144, 4'000},
};

Json::Value fleet_of(point const& it)
{
    Json::Value workers{Json::objectValue};
    workers["prefix"] = "w-";
    workers["count"] = it.workers;
    workers["cores"] = 32;
    workers["memory_mb"] = 131'072;
    workers["rack_size"] = s_rack;
    workers["zone"] = "sapporo-a";
    Json::Value minions{Json::objectValue};
    minions["prefix"] = "m-";
    minions["service"] = "report-svc";
    minions["count"] = s_minions;
    minions["slots"] = 8;
    minions["connections"] = 64;
    minions["zone"] = "sapporo-a";
    Json::Value out{Json::objectValue};
    out["workers"].append(workers);
    out["minions"].append(minions);
    return out;
}

Json::Value contracts()
{
    model::contract it;
    it.name = "kitakaze";
    it.side = "sapporo";
    it.services = {"report-svc"};
    it.quota = {1'000'000'000, 1'000'000'000, 0};
    it.tasks_at_once = 1'000'000;
    Json::Value out{Json::arrayValue};
    out.append(model::to_json(it));
    return out;
}

model::job_request service_of(int tasks)
{
    model::job_request it;
    it.contract = "kitakaze";
    it.name = "standing";
    it.kind = model::job_kind::batch;
    it.tasks = tasks;
    it.declared = {100, 64, 0};
    it.declared_run_s = 600;
    it.key = "standing";
    it.command = R"({"tag":"standing","run_s":600})";
    return it;
}

void print(std::string const& name, double value, char const* unit)
{
    std::cout << name << "=" << value << " " << unit << std::endl;
}

double mean(std::vector<double> const& it)
{
    return std::accumulate(it.begin(), it.end(), 0.0) /
           static_cast<double>(it.size());
}

void report(point const& at,
            capacity::usage const& before,
            capacity::usage const& after)
{
    std::vector<double> cores;
    for (std::size_t n = 0; n < before.processor_s.size(); ++n)
    {
        cores.push_back((after.processor_s[n] - before.processor_s[n]) *
                        s_percent / s_measure_s);
    }
    auto const name = "capacity." + at.name + ".";
    print(name + "core_mean", mean(cores), "percent");
    print(name + "core_most", *std::max_element(cores.begin(), cores.end()),
          "percent");
    print(name + "memory_mean", mean(after.memory_mb), "MiB");
    print(name + "memory_most",
          *std::max_element(after.memory_mb.begin(), after.memory_mb.end()),
          "MiB");
    print(name + "loopback_per_entry",
          (after.loopback_bytes - before.loopback_bytes) / s_bytes_per_kb /
              s_measure_s / at.entries,
          "kB/s");
}

base::result<base::done> measure(point const& at,
                                 scenario::cell_options options)
{
    auto const pool = std::make_shared<platform::http_pool>();
    options.entries = at.entries;
    options.fleet = fleet_of(at);
    scenario::cell cell{std::move(options), pool};
    BOOST_LEAF_CHECK(cell.start());
    scenario::api_client client{pool, cell.entries(), cell.seen()};
    BOOST_LEAF_CHECK(client.apply(contracts(), -1, "capacity"));
    if (at.tasks > 0)
    {
        BOOST_LEAF_CHECK(client.submit(service_of(at.tasks), "standing"));
    }
    std::this_thread::sleep_for(s_settle);
    auto const before = capacity::usage_of(cell.process_ids());
    std::this_thread::sleep_for(std::chrono::seconds{s_measure_s});
    report(at, before, capacity::usage_of(cell.process_ids()));
    cell.stop();
    return base::done{};
}

} // namespace

int main(int count, char** words)
{
    cxxopts::Options options{"capacity",
                             "Prints what an entry costs, one `name=value "
                             "unit` line a figure.\nExample: capacity --only "
                             "workers-48"};
    auto add = options.add_options();
    add("binary", "",
        cxxopts::value<std::string>()->default_value(
            "build/release/bin/berylhill"));
    add("stand-ins", "",
        cxxopts::value<std::string>()->default_value(
            "build/release/bin/stand_ins"));
    add("directory", "for settings and outputs",
        cxxopts::value<std::string>()->default_value("build/capacity"));
    add("only", "one point, by its name",
        cxxopts::value<std::string>()->default_value(""));
    add("help", "");
    auto const given = options.parse(count, words);
    if (given.count("help") != 0)
    {
        std::cout << options.help();
        return 0;
    }
    auto const only = given["only"].as<std::string>();
    for (auto const& it : s_points)
    {
        if (!only.empty() && only != it.name)
        {
            continue;
        }
        scenario::cell_options cell;
        cell.binary = given["binary"].as<std::string>();
        cell.stand_ins = given["stand-ins"].as<std::string>();
        cell.directory = given["directory"].as<std::string>();
        auto const done = base::capture([&] { return measure(it, cell); });
        if (!done)
        {
            std::cerr << it.name << ": " << done.error().message << "\n";
            return 1;
        }
    }
    return 0;
}
