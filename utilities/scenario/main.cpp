#include <base/log.hpp>
#include <scenario/random_script.hpp>
#include <scenario/runner.hpp>

#include <cxxopts.hpp>

#include <unistd.h>

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

cxxopts::Options make_options()
{
    cxxopts::Options options{
        "scenario", "Runs a scenario against real processes on loopback.\n"
                    "Example: scenario tests/scenarios/kill.scenario --runs 3"};
    auto add = options.add_options();
    add("file", "the scenario", cxxopts::value<std::string>());
    add("seed", "of the first run; the next ones count up",
        cxxopts::value<std::uint64_t>()->default_value("1"));
    add("runs", "", cxxopts::value<std::uint64_t>()->default_value("1"));
    add("random", "compose work and faults from the seed, without a file");
    add("binary", "",
        cxxopts::value<std::string>()->default_value(
            "build/release/bin/berylhill"));
    add("stand-ins", "",
        cxxopts::value<std::string>()->default_value(
            "build/release/bin/stand_ins"));
    add("directory", "for settings, outputs and histories",
        cxxopts::value<std::string>()->default_value(""));
    add("language", "print every form of the language");
    add("check", "only read the scenario");
    add("help", "");
    options.parse_positional({"file"});
    options.positional_help("FILE");
    return options;
}

/// One run's script, and what to say for repeating it.
struct task
{
    scenario::script script;
    std::string files;
    std::string repeat;
};

std::string text_in(std::string const& path)
{
    std::ifstream in{path};
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
}

task task_for(cxxopts::ParseResult const& args,
              std::uint64_t seed,
              base::findings& found)
{
    auto const number = " --seed " + std::to_string(seed);
    if (args.count("random") != 0)
    {
        auto const text = scenario::random_script(seed);
        return {scenario::read_script("random", text, found), "tests/scenarios",
                "build/release/bin/scenario --random" + number};
    }
    auto const file = args["file"].as<std::string>();
    if (!std::filesystem::is_regular_file(file))
    {
        found.add({file, 0, "", "no such file"});
        return {};
    }
    return {scenario::read_script(file, text_in(file), found),
            std::filesystem::path{file}.parent_path().string(),
            "meta/berylhill.sh scenario " + file + number};
}

bool run_one(cxxopts::ParseResult const& args,
             std::uint64_t seed,
             task const& it)
{
    auto directory = args["directory"].as<std::string>();
    if (directory.empty())
    {
        directory = std::filesystem::temp_directory_path() /
                    ("berylhill-scenario-" + std::to_string(::getpid()));
    }
    scenario::runner runner{{args["binary"].as<std::string>(),
                             args["stand-ins"].as<std::string>(), directory,
                             it.files, seed}};
    auto const report = runner.run(it.script);
    std::cout << (report.held() ? "held" : "BROKEN") << " seed=" << seed
              << " events=" << report.seen.size() << std::endl;
    if (!report.held())
    {
        for (auto const& line : it.script.statements)
        {
            std::cout << "  | " << line.text << "\n";
        }
        std::cout << scenario::explain(report) << "repeat: " << it.repeat
                  << "\nfiles: " << directory << std::endl;
    }
    return report.held();
}

int run(int argc, char** argv)
{
    auto options = make_options();
    auto const args = options.parse(argc, argv);
    if (args.count("language") != 0)
    {
        std::cout << scenario::describe_language();
        return s_held;
    }
    if (args.count("help") != 0 ||
        (args.count("file") == 0 && args.count("random") == 0))
    {
        std::cout << options.help();
        return args.count("help") != 0 ? s_held : s_bad_input;
    }
    base::start_log("scenario", base::log_level::warning);
    auto const first = args["seed"].as<std::uint64_t>();
    auto const runs = args["runs"].as<std::uint64_t>();
    bool held = true;
    for (auto seed = first; seed < first + runs; ++seed)
    {
        base::findings found;
        auto const it = task_for(args, seed, found);
        if (!found.empty())
        {
            std::cerr << found.text();
            return s_bad_input;
        }
        if (args.count("check") == 0)
        {
            held = run_one(args, seed, it) && held;
        }
    }
    return held ? s_held : s_broken;
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
