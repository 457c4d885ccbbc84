#include <base/log.hpp>
#include <model/json.hpp>
#include <scenario/measures.hpp>
#include <scenario/replay.hpp>

#include <cxxopts.hpp>

#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace berylhill;

namespace
{

constexpr int s_held = 0;
constexpr int s_broken = 1;
constexpr int s_bad_input = 2;
constexpr double s_percent = 100;

cxxopts::Options make_options()
{
    cxxopts::Options options{
        "demo", "Replays both customers' samples on one cell of three entries "
                "and holds the stated outcomes and all promises against what "
                "was seen."};
    auto add = options.add_options();
    add("binary", "",
        cxxopts::value<std::string>()->default_value(
            "build/release/bin/berylhill"));
    add("stand-ins", "",
        cxxopts::value<std::string>()->default_value(
            "build/release/bin/stand_ins"));
    add("samples", "", cxxopts::value<std::string>()->default_value("samples"));
    add("kill", "kill entry 2 in the middle, and start it again");
    add("directory", "for settings, outputs and histories",
        cxxopts::value<std::string>()->default_value(""));
    add("help", "");
    return options;
}

/// The samples of all customers, as one.
struct samples
{
    std::vector<scenario::trace_line> trace;
    Json::Value fleet;
    Json::Value contracts{Json::arrayValue};
};

std::string text_in(std::filesystem::path const& path)
{
    std::ifstream in{path};
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
}

Json::Value json_in(std::filesystem::path const& path, base::findings& found)
{
    auto const value =
        base::capture([&] { return model::parse_json(text_in(path)); });
    if (!value)
    {
        found.add({path.string(), 0, "", value.error().message});
        return {};
    }
    return value.value();
}

std::vector<std::filesystem::path> files_in(std::filesystem::path const& folder)
{
    std::vector<std::filesystem::path> files;
    if (std::filesystem::is_directory(folder))
    {
        for (auto const& it : std::filesystem::directory_iterator{folder})
        {
            files.push_back(it.path());
        }
    }
    std::sort(files.begin(), files.end());
    return files;
}

void add_customer(std::filesystem::path const& folder,
                  samples& all,
                  base::findings& found)
{
    auto const fleet = json_in(folder / "fleet.json", found);
    for (auto const* const kind : {"workers", "minions"})
    {
        for (auto const& group : fleet[kind])
        {
            all.fleet[kind].append(group);
        }
    }
    for (auto const& it : files_in(folder / "contracts"))
    {
        all.contracts.append(json_in(it, found));
    }
    auto const path = folder / "trace.jsonl";
    auto const trace =
        scenario::read_trace(path.string(), text_in(path), found);
    all.trace.insert(all.trace.end(), trace.begin(), trace.end());
}

/// An entry that is killed takes the outcome of the calls it held with it. One
/// that must run once is then truly unknown to its caller; in flight at one
/// entry at once are at most so many.
constexpr int s_in_flight_at_one_entry = 4;

void allow_unknown_calls(std::vector<scenario::trace_line>& trace)
{
    for (auto& it : trace)
    {
        if (auto* stated = std::get_if<scenario::stated_outcome>(&it.what))
        {
            stated->calls_unknown_at_most = s_in_flight_at_one_entry;
        }
    }
}

samples
read_samples(std::string const& folder, bool kills, base::findings& found)
{
    samples all;
    for (auto const& it : files_in(folder))
    {
        add_customer(it, all, found);
    }
    if (all.trace.empty())
    {
        found.add({folder, 0, "", "there are no samples"});
    }
    if (kills)
    {
        auto const more = scenario::read_trace(
            "--kill",
            R"({"at_s": 8, "what": "operation", "text": "kill entry 2"}
{"at_s": 12, "what": "operation", "text": "start entry 2"}
)",
            found);
        all.trace.insert(all.trace.end(), more.begin(), more.end());
        allow_unknown_calls(all.trace);
    }
    std::stable_sort(all.trace.begin(), all.trace.end(),
                     [](auto const& a, auto const& b)
                     { return a.at_s < b.at_s; });
    return all;
}

void print_quantiles(char const* what, std::vector<double> const& samples)
{
    std::printf("  %-34s p50 %.3f s, p90 %.3f s, p99 %.3f s\n", what,
                scenario::quantile(samples, 0.5),
                scenario::quantile(samples, 0.9),
                scenario::quantile(samples, 0.99));
}

void print_customer(std::string const& name,
                    scenario::customer_measures const& it)
{
    std::printf("%s\n", name.c_str());
    std::printf("  calls answered %d, unknown %d, refused on the way %d\n",
                it.calls_answered, it.calls_unknown, it.calls_refused);
    std::printf("  jobs accepted %d, succeeded %d\n", it.jobs_accepted,
                it.jobs_succeeded);
    std::printf("  tasks %d, done once %d, done again %d\n", it.tasks,
                it.tasks_done_once, it.tasks_done_again);
    print_quantiles("call, to its answer:", it.call_s);
    print_quantiles("task, from acceptance to start:", it.task_wait_s);
}

void print_report(scenario::run_report const& report)
{
    std::printf("\n");
    for (auto const& [name, it] : scenario::measure_customers(report.seen))
    {
        print_customer(name, it);
    }
    std::printf("packing: %.1f%% of the processors of workers in use\n",
                s_percent * scenario::measure_packing(report.seen));
    for (auto const& it : scenario::all_checkers())
    {
        auto const broken =
            std::any_of(report.breaches.begin(), report.breaches.end(),
                        [&](scenario::breach const& one)
                        { return one.promise == it->name(); });
        std::printf("promise %-24s %s\n", it->name().c_str(),
                    broken ? "BROKEN" : "held");
    }
    std::printf("%s%s\n", scenario::explain(report).c_str(),
                report.held() ? "All stated outcomes held."
                              : "Stated outcomes did not hold.");
}

std::string directory_of(cxxopts::ParseResult const& args)
{
    auto const wanted = args["directory"].as<std::string>();
    return wanted.empty() ? (std::filesystem::temp_directory_path() /
                             ("berylhill-demo-" + std::to_string(::getpid())))
                                .string()
                          : wanted;
}

int run(int argc, char** argv)
{
    auto options = make_options();
    auto const args = options.parse(argc, argv);
    if (args.count("help") != 0)
    {
        std::cout << options.help();
        return s_held;
    }
    base::start_log("demo", base::log_level::warning);
    base::findings found;
    auto const all = read_samples(args["samples"].as<std::string>(),
                                  args.count("kill") != 0, found);
    if (!found.empty())
    {
        std::cerr << found.text();
        return s_bad_input;
    }
    scenario::replay_options wanted;
    wanted.cell.binary = args["binary"].as<std::string>();
    wanted.cell.stand_ins = args["stand-ins"].as<std::string>();
    wanted.cell.directory = directory_of(args);
    wanted.cell.fleet = all.fleet;
    wanted.contracts = all.contracts;
    scenario::replay replay{wanted, [](std::string const& line)
                            {
                                std::cout << line << std::endl;
                            }};
    auto const report = replay.run(all.trace);
    print_report(report);
    if (!report.held())
    {
        std::cout << "files: " << wanted.cell.directory << std::endl;
        return s_broken;
    }
    std::filesystem::remove_all(wanted.cell.directory);
    return s_held;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return run(argc, argv);
    }
    catch (std::exception const& it)
    {
        std::cerr << it.what() << "\n";
        return s_bad_input;
    }
}
