#include <base/log.hpp>
#include <model/json.hpp>
#include <platform/http_endpoint_list.hpp>
#include <stand_ins/list_stand_in.hpp>
#include <stand_ins/log_stand_in.hpp>
#include <stand_ins/minions_stand_in.hpp>
#include <stand_ins/workers_stand_in.hpp>

#include <cxxopts.hpp>

#include <csignal>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>

using namespace berylhill;

namespace
{

constexpr int s_bad_input = 2;
constexpr auto s_list_timeout = std::chrono::seconds{1};

cxxopts::Options make_options()
{
    cxxopts::Options options{
        "stand_ins", "Stand-ins for what the platform and customers own. "
                     "Parts: log, list, workers, minions, platform (all)."};
    auto add = options.add_options();
    add("part", "log, list, workers, minions or platform",
        cxxopts::value<std::string>()->default_value("platform"));
    add("log-port", "", cxxopts::value<int>()->default_value("7001"));
    add("list-port", "", cxxopts::value<int>()->default_value("7002"));
    add("workers-port", "", cxxopts::value<int>()->default_value("7003"));
    add("minions-port", "", cxxopts::value<int>()->default_value("7004"));
    add("list", "IP:port of the list, for workers or minions on their own",
        cxxopts::value<std::string>()->default_value("127.0.0.1:7002"));
    add("fleet", "JSON file: {\"workers\":[...],\"minions\":[...]}",
        cxxopts::value<std::string>()->default_value(""));
    add("workers", "how many, without --fleet",
        cxxopts::value<std::int32_t>()->default_value("8"));
    add("cores", "", cxxopts::value<std::int64_t>()->default_value("32"));
    add("memory-mb", "",
        cxxopts::value<std::int64_t>()->default_value("131072"));
    add("rack-size", "", cxxopts::value<std::int32_t>()->default_value("8"));
    add("zone", "", cxxopts::value<std::string>()->default_value("sapporo-a"));
    add("minions", "how many, without --fleet",
        cxxopts::value<std::int32_t>()->default_value("4"));
    add("service", "",
        cxxopts::value<std::string>()->default_value("report-svc"));
    add("appends-per-s", "",
        cxxopts::value<std::int32_t>()->default_value("300"));
    add("retain-records", "",
        cxxopts::value<std::size_t>()->default_value("1000000"));
    add("retain-s", "", cxxopts::value<double>()->default_value("3600"));
    add("lag-ms", "of the list",
        cxxopts::value<std::int64_t>()->default_value("500"));
    add("expire-ms", "of the list",
        cxxopts::value<std::int64_t>()->default_value("5000"));
    add("usage-lag-ms", "",
        cxxopts::value<std::int64_t>()->default_value("1000"));
    add("time-scale", "run times are divided by it",
        cxxopts::value<double>()->default_value("1"));
    add("seed", "", cxxopts::value<std::uint64_t>()->default_value("1"));
    add("history", "file of JSON lines",
        cxxopts::value<std::string>()->default_value(""));
    add("help", "");
    options.parse_positional({"part"});
    return options;
}

struct fleet
{
    std::vector<stand_ins::worker_group> workers;
    std::vector<stand_ins::minion_group> minions;
};

stand_ins::worker_group worker_group_from(Json::Value const& it)
{
    stand_ins::worker_group group;
    group.prefix = it.get("prefix", group.prefix).asString();
    group.count = it.get("count", group.count).asInt();
    group.cores = it.get("cores", Json::Int64{group.cores}).asInt64();
    group.memory_mb =
        it.get("memory_mb", Json::Int64{group.memory_mb}).asInt64();
    group.rack_size = it.get("rack_size", group.rack_size).asInt();
    group.zone = it.get("zone", group.zone).asString();
    return group;
}

stand_ins::minion_group minion_group_from(Json::Value const& it)
{
    stand_ins::minion_group group;
    group.prefix = it.get("prefix", group.prefix).asString();
    group.service = it.get("service", group.service).asString();
    group.count = it.get("count", group.count).asInt();
    group.slots = it.get("slots", group.slots).asInt();
    group.connections = it.get("connections", group.connections).asInt();
    group.zone = it.get("zone", group.zone).asString();
    group.least_ms = it.get("least_ms", group.least_ms).asDouble();
    group.most_ms = it.get("most_ms", group.most_ms).asDouble();
    return group;
}

base::result<fleet> fleet_from(std::string const& file)
{
    std::ifstream in{file};
    std::stringstream text;
    text << in.rdbuf();
    BOOST_LEAF_AUTO(value, model::parse_json(text.str()));
    fleet it;
    for (auto const& group : value["workers"])
    {
        it.workers.push_back(worker_group_from(group));
    }
    for (auto const& group : value["minions"])
    {
        it.minions.push_back(minion_group_from(group));
    }
    return it;
}

base::result<fleet> fleet_of(cxxopts::ParseResult const& args)
{
    auto const file = args["fleet"].as<std::string>();
    if (!file.empty())
    {
        return fleet_from(file);
    }
    fleet it;
    auto const zone = args["zone"].as<std::string>();
    stand_ins::worker_group workers;
    workers.count = args["workers"].as<std::int32_t>();
    workers.cores = args["cores"].as<std::int64_t>();
    workers.memory_mb = args["memory-mb"].as<std::int64_t>();
    workers.rack_size = args["rack-size"].as<std::int32_t>();
    workers.zone = zone;
    it.workers.push_back(workers);
    stand_ins::minion_group minions;
    minions.count = args["minions"].as<std::int32_t>();
    minions.service = args["service"].as<std::string>();
    minions.zone = zone;
    it.minions.push_back(minions);
    return it;
}

/// The parts that were asked for; each lives as long as this.
class parts
{
public:
    explicit parts(cxxopts::ParseResult const& args)
        : m_args{args}
        , m_seen{args["history"].as<std::string>()}
        , m_part{args["part"].as<std::string>()}
    {
    }

    bool start(fleet const& all)
    {
        return start_log() && start_list() && start_workers(all) &&
               start_minions(all);
    }

private:
    [[nodiscard]] bool wanted(char const* part) const
    {
        return m_part == part || m_part == "platform";
    }

    [[nodiscard]] int port(char const* option) const
    {
        return m_args[option].as<int>();
    }

    bool start_log()
    {
        if (!wanted("log"))
        {
            return true;
        }
        stand_ins::log_options const options{
            m_args["appends-per-s"].as<std::int32_t>(),
            m_args["retain-records"].as<std::size_t>(),
            m_args["retain-s"].as<double>(),
            m_args["seed"].as<std::uint64_t>()};
        m_log = std::make_unique<stand_ins::log_stand_in>(options, m_seen);
        return m_log->start(port("log-port")) != 0;
    }

    bool start_list()
    {
        if (!wanted("list"))
        {
            return true;
        }
        stand_ins::list_options const options{
            m_args["lag-ms"].as<std::int64_t>(),
            m_args["expire-ms"].as<std::int64_t>()};
        m_list = std::make_unique<stand_ins::list_stand_in>(options, m_seen);
        return m_list->start(port("list-port")) != 0;
    }

    bool start_workers(fleet const& all)
    {
        if (!wanted("workers"))
        {
            return true;
        }
        stand_ins::workers_options const options{
            all.workers, m_args["usage-lag-ms"].as<std::int64_t>(),
            m_args["time-scale"].as<double>()};
        m_workers =
            std::make_unique<stand_ins::workers_stand_in>(options, m_seen);
        return m_workers->start(port("workers-port"), tell()) != 0;
    }

    bool start_minions(fleet const& all)
    {
        if (!wanted("minions"))
        {
            return true;
        }
        stand_ins::minions_options const options{
            all.minions, m_args["seed"].as<std::uint64_t>()};
        m_minions =
            std::make_unique<stand_ins::minions_stand_in>(options, m_seen);
        return m_minions->start(port("minions-port"), tell()) != 0;
    }

    stand_ins::registrar tell()
    {
        if (m_list)
        {
            return [this](model::endpoint const& it)
            {
                m_list->put(it);
            };
        }
        auto list = std::make_shared<platform::http_endpoint_list>(
            std::make_shared<platform::http_pool>(),
            m_args["list"].as<std::string>(), s_list_timeout);
        return [list](model::endpoint const& it)
        {
            if (!base::capture([&] { return list->put(it); }))
            {
                base::log(base::log_level::warning, "list_unreachable");
            }
        };
    }

    cxxopts::ParseResult const& m_args;
    stand_ins::history m_seen;
    std::string m_part;
    std::unique_ptr<stand_ins::log_stand_in> m_log;
    std::unique_ptr<stand_ins::list_stand_in> m_list;
    std::unique_ptr<stand_ins::workers_stand_in> m_workers;
    std::unique_ptr<stand_ins::minions_stand_in> m_minions;
};

int run(int argc, char** argv)
{
    auto options = make_options();
    auto const args = options.parse(argc, argv);
    if (args.count("help") != 0)
    {
        std::cout << options.help();
        return 0;
    }
    // Blocked before any thread starts, so that only sigwait sees them.
    sigset_t ends;
    sigemptyset(&ends);
    sigaddset(&ends, SIGTERM);
    sigaddset(&ends, SIGINT);
    pthread_sigmask(SIG_BLOCK, &ends, nullptr);
    base::start_log("stand_ins", base::log_level::info);
    auto const all = base::capture([&] { return fleet_of(args); });
    if (!all)
    {
        std::cerr << "fleet: " << all.error().message << "\n";
        return s_bad_input;
    }
    parts running{args};
    if (!running.start(all.value()))
    {
        std::cerr << "a port cannot be bound\n";
        return s_bad_input;
    }
    std::cout << "ready" << std::endl;
    int signal = 0;
    sigwait(&ends, &signal);
    return 0;
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
