#include <soak/run.hpp>

#include <cxxopts.hpp>

#include <unistd.h>

#include <iostream>

using namespace berylhill;

namespace
{

constexpr int s_held = 0;
constexpr int s_broken = 1;
constexpr int s_bad_input = 2;

/// Output of a run that held is of no use to anybody.
constexpr std::size_t most_findings_shown = 8;

cxxopts::Options make_options()
{
    cxxopts::Options options{
        "soak", "Plays random faults against real processes of a cell on "
                "loopback and checks what callers and instances see.\n"
                "Example: soak --first 7 --seeds 1"};
    auto add = options.add_options();
    add("binary", "",
        cxxopts::value<std::string>()->default_value(
            "build/release/bin/berylhill"));
    add("directory", "for settings and outputs; kept where a seed broke",
        cxxopts::value<std::string>()->default_value(
            std::filesystem::temp_directory_path() /
            ("berylhill-soak-" + std::to_string(::getpid()))));
    add("first", "the first seed",
        cxxopts::value<std::uint64_t>()->default_value("1"));
    add("seeds", "how many",
        cxxopts::value<std::uint64_t>()->default_value("1"));
    add("processes", "of the cell",
        cxxopts::value<std::size_t>()->default_value("5"));
    add("instances", "that run tasks",
        cxxopts::value<std::size_t>()->default_value("6"));
    add("clients", "", cxxopts::value<std::size_t>()->default_value("8"));
    add("unsteady", "tasks that crash their instances, and instances that "
                    "shrink and grow");
    add("late-orders", "spells in which orders get no answer and are carried "
                       "out seconds later, and instances that reject part of "
                       "their requests");
    add("revoke-keys", "client accounts whose keys are revoked and given back "
                       "one after the other, while the store loses answers and "
                       "owners are killed; not with --large");
    add("large", "configurations as large as the store takes, over links that "
                 "carry 2 Mbit/s");
    add("same-ids",
        "instances that crash one after the other, tell their birth "
        "and start again under the id that they had");
    add("turn-away", "a store that turns the owner and maybe more processes "
                     "away, in place of the other faults of processes and of "
                     "the store");
    add("wide", "jobs of many tasks, and a store that takes little in one "
                "append");
    add("islands", "40 s of faults, in which owners are cut off from the store "
                   "and the other processes for seconds, together with "
                   "instances that only they reach");
    add("moved-queues",
        "40 s of faults, in which queues move between two services and links "
        "to instances are silent for longer than a lease, while tasks run");
    add("slow-store", "in place of the other faults a store that takes 300 ms "
                      "for each answer, short tasks, and instances that crash "
                      "just after they have reported an end");
    add("plan", "print the faults of each seed, and play none");
    add("help", "");
    return options;
}

void print_plan(soak::run_settings const& settings)
{
    for (auto const& it : soak::faults_of(settings))
    {
        std::cout << "seed " << settings.seed << " at " << it.at.count()
                  << " ms for " << it.length.count()
                  << " ms: " << name_of(it.kind) << " target " << it.target
                  << '\n';
    }
}

/// Whether the seed held.
bool play_seed(soak::run_settings& settings,
               std::filesystem::path const& directory)
{
    settings.folder = directory / std::to_string(settings.seed);
    std::filesystem::create_directories(settings.folder);
    auto const end = soak::play(settings);
    std::cout << "seed " << settings.seed << ' '
              << (end.findings.empty() ? "held" : "BROKE") << " accepted "
              << end.accepted << " owed " << end.owed << " starts "
              << end.starts << " longest turn of the soak itself "
              << end.longest_turn.count() << " ms" << std::endl;
    for (std::size_t n = 0;
         n < std::min(end.findings.size(), most_findings_shown); ++n)
    {
        std::cout << "  " << end.findings[n] << '\n';
    }
    if (end.findings.empty())
    {
        std::error_code ec;
        std::filesystem::remove_all(settings.folder, ec);
        return true;
    }
    std::cout << "  logs: " << settings.folder.string() << std::endl;
    return false;
}

int run(cxxopts::ParseResult const& given)
{
    soak::run_settings settings;
    settings.binary = given["binary"].as<std::string>();
    settings.size = {
        given["processes"].as<std::size_t>(),
        given["instances"].as<std::size_t>(),
        given.count("unsteady") != 0 ? soak::instance_kind::unsteady
                                     : soak::instance_kind::steady,
        given.count("large") != 0 ? soak::configuration_kind::large
                                  : soak::configuration_kind::small,
        given.count("late-orders") != 0 ? soak::order_kind::late
                                        : soak::order_kind::prompt,
        given.count("revoke-keys") != 0 ? soak::caller_kind::accounts
                                        : soak::caller_kind::anybody,
        given.count("same-ids") != 0,
        given.count("turn-away") != 0,
        given.count("wide") != 0 ? soak::job_kind::wide : soak::job_kind::small,
        given.count("islands") != 0,
        given.count("moved-queues") != 0,
        given.count("slow-store") != 0};
    if (settings.size.islands || settings.size.moves_queues)
    {
        settings.length = std::chrono::seconds{40};
    }
    if (settings.size.slow_store)
    {
        settings.length = std::chrono::seconds{20};
    }
    settings.clients = given["clients"].as<std::size_t>();
    auto const first = given["first"].as<std::uint64_t>();
    auto const seeds = given["seeds"].as<std::uint64_t>();
    std::uint64_t held = 0;
    for (auto seed = first; seed < first + seeds; ++seed)
    {
        settings.seed = seed;
        if (given.count("plan") != 0)
        {
            print_plan(settings);
            ++held;
            continue;
        }
        held +=
            play_seed(settings, given["directory"].as<std::string>()) ? 1 : 0;
    }
    std::cout << held << " passed, " << seeds - held << " failed" << std::endl;
    return held == seeds ? s_held : s_broken;
}

} // namespace

int main(int argc, char** argv)
{
    auto options = make_options();
    try
    {
        auto const given = options.parse(argc, argv);
        if (given.count("help") != 0)
        {
            std::cout << options.help();
            return s_held;
        }
        return run(given);
    }
    catch (cxxopts::exceptions::exception const& it)
    {
        std::cerr << it.what() << '\n';
        return s_bad_input;
    }
}
