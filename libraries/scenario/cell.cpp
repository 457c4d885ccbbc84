#include <scenario/cell.hpp>

#include <model/json.hpp>

#include <cassert>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>
#include <utility>

namespace berylhill::scenario
{

namespace
{

constexpr auto s_start_within = std::chrono::seconds{20};
constexpr auto s_stop_within = std::chrono::seconds{40};
constexpr auto s_request_timeout = std::chrono::milliseconds{1'000};
constexpr auto s_announce_timeout = std::chrono::seconds{5};
constexpr auto s_poll = std::chrono::milliseconds{20};
/// The balancer learns of a stop so much later.
constexpr auto s_balancer_lag = std::chrono::milliseconds{300};
/// What the log service takes, of which each entry has its share.
constexpr int s_appends_per_s = 300;
constexpr std::int32_t s_ok = 200;
constexpr std::int32_t s_not_found = 404;
constexpr int s_most_announcements = 10;
constexpr auto s_announce_again = std::chrono::milliseconds{300};
/// The ports of the stand-ins, by their place in the list.
constexpr std::size_t s_log = 0;
constexpr std::size_t s_list = 1;
constexpr std::size_t s_workers = 2;
constexpr std::size_t s_minions = 3;
constexpr std::size_t s_stand_in_ports = 4;

std::string local(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

void write_file(std::string const& path, Json::Value const& it)
{
    std::ofstream{path} << model::text_of(it) << "\n";
}

base::failure not_started(std::string const& what)
{
    return {base::failure_code::unavailable, what + " did not start", 0};
}

} // namespace

cell::cell(cell_options options, std::shared_ptr<platform::http_pool> pool)
    : m_options{std::move(options)}
    , m_pool{std::move(pool)}
{
}

cell::~cell()
{
    stop();
}

base::result<base::done> cell::start()
{
    std::filesystem::remove_all(m_options.directory);
    std::filesystem::create_directories(m_options.directory);
    auto const count = static_cast<std::size_t>(m_options.entries);
    m_ports = free_ports(static_cast<int>(s_stand_in_ports + 2 * count));
    if (m_ports.size() != s_stand_in_ports + 2 * count)
    {
        return base::fail(not_started("a socket"));
    }
    BOOST_LEAF_CHECK(start_stand_ins());
    m_entries.resize(count);
    for (int entry = 1; entry <= m_options.entries; ++entry)
    {
        BOOST_LEAF_CHECK(start_entry(entry));
    }
    base::system_clock const clock;
    auto const until = clock.now() + s_start_within;
    for (int entry = 1; entry <= m_options.entries; ++entry)
    {
        while (!ready(entry))
        {
            if (clock.now() > until || process_of(entry).process.ended())
            {
                return base::fail(not_started(process_of(entry).address.name));
            }
            std::this_thread::sleep_for(s_poll);
        }
    }
    return base::done{};
}

base::result<base::done> cell::start_stand_ins()
{
    auto const& directory = m_options.directory;
    write_file(directory + "/fleet.json", m_options.fleet);
    BOOST_LEAF_ASSIGN(m_stand_ins,
                      child_process::start(
                          {m_options.stand_ins, "platform", "--log-port",
                           std::to_string(m_ports[s_log]), "--list-port",
                           std::to_string(m_ports[s_list]), "--workers-port",
                           std::to_string(m_ports[s_workers]), "--minions-port",
                           std::to_string(m_ports[s_minions]), "--fleet",
                           directory + "/fleet.json", "--history",
                           directory + "/stand_ins.jsonl", "--time-scale",
                           std::to_string(m_options.time_scale), "--seed",
                           std::to_string(m_options.seed)},
                          directory + "/stand_ins.out"));
    base::system_clock const clock;
    auto const until = clock.now() + s_start_within;
    platform::http_request const question{"GET", "/endpoints", {}, {}, {}};
    while (!base::capture(
        [&] {
            return m_pool->send(local(m_ports[s_list]), question,
                                s_request_timeout);
        }))
    {
        if (clock.now() > until || m_stand_ins.ended())
        {
            return base::fail(not_started("stand_ins"));
        }
        std::this_thread::sleep_for(s_poll);
    }
    return base::done{};
}

Json::Value cell::settings_of(int entry) const
{
    auto const index = static_cast<std::size_t>(entry - 1);
    auto const& zones = m_options.zones;
    Json::Value it;
    it["instance"] = "entry-" + std::to_string(entry);
    it["zone"] = zones[index % zones.size()];
    it["side"] = m_options.side;
    it["listen"]["http"] = local(m_ports[s_stand_in_ports + 2 * index]);
    it["listen"]["peer"] = local(m_ports[s_stand_in_ports + 2 * index + 1]);
    it["platform"]["log"] = local(m_ports[s_log]);
    it["platform"]["list"] = local(m_ports[s_list]);
    it["platform"]["appends_per_s"] =
        static_cast<double>(s_appends_per_s) / m_options.entries;
    return it;
}

cell::entry_process& cell::process_of(int entry)
{
    assert(entry >= 1 && entry <= m_options.entries);
    return m_entries[static_cast<std::size_t>(entry - 1)];
}

base::result<base::done> cell::start_entry(int entry)
{
    auto& it = process_of(entry);
    auto const settings = settings_of(entry);
    it.address = {settings["instance"].asString(),
                  settings["listen"]["http"].asString()};
    auto const path = m_options.directory + "/" + it.address.name;
    write_file(path + ".json", settings);
    BOOST_LEAF_ASSIGN(it.process,
                      child_process::start({m_options.binary, "entry",
                                            "--settings", path + ".json"},
                                           path + ".out"));
    m_journal.add("process_started", it.address.name);
    m_balancer.add(it.address);
    return base::done{};
}

void cell::note_fault(std::string const& entry, char const* name)
{
    Json::Value details;
    details["fault"] = name;
    m_journal.add("fault", entry, details);
}

void cell::note_end(entry_process& it, base::duration most)
{
    if (!it.process.started())
    {
        return;
    }
    auto code = it.process.wait(most);
    if (!code)
    {
        it.process.send_signal(SIGKILL);
        code = it.process.wait(s_start_within);
    }
    Json::Value details;
    details["code"] = code.value_or(-1);
    m_journal.add("process_ended", it.address.name, details);
    it.process = child_process{};
}

void cell::kill_entry(int entry)
{
    auto& it = process_of(entry);
    note_fault(it.address.name, "kill");
    it.process.send_signal(SIGKILL);
    m_balancer.remove(it.address.name);
    note_end(it, s_start_within);
}

void cell::freeze_entry(int entry)
{
    auto& it = process_of(entry);
    if (!it.process.started())
    {
        return;
    }
    note_fault(it.address.name, "freeze");
    it.process.send_signal(SIGSTOP);
    m_balancer.remove(it.address.name);
}

void cell::thaw_entry(int entry)
{
    auto& it = process_of(entry);
    if (!it.process.started())
    {
        return;
    }
    note_fault(it.address.name, "thaw");
    it.process.send_signal(SIGCONT);
    m_balancer.add(it.address);
}

base::result<base::done> cell::announce_stop(entry_address const& it)
{
    Json::Value body;
    body["kind"] = "instance";
    body["id"] = it.name;
    body["operator"] = "scenario";
    platform::http_request const request{
        "POST", "/v1/stops", {}, "application/json", model::text_of(body)};
    // An entry that has just started is not yet on the lagging list; an
    // operator would try again.
    for (int n = 1;; ++n)
    {
        BOOST_LEAF_AUTO(reply,
                        m_pool->send(it.http, request, s_announce_timeout));
        if (reply.status / 100 == s_ok / 100)
        {
            return base::done{};
        }
        if (reply.status != s_not_found || n == s_most_announcements)
        {
            return base::fail(base::failure_code::refused,
                              "the stop was refused: " + reply.body);
        }
        std::this_thread::sleep_for(s_announce_again);
    }
}

base::result<base::done> cell::stop_entry(int entry)
{
    auto& it = process_of(entry);
    BOOST_LEAF_CHECK(announce_stop(it.address));
    m_journal.add("stop_announced", it.address.name);
    std::this_thread::sleep_for(s_balancer_lag);
    m_balancer.remove(it.address.name);
    it.process.send_signal(SIGTERM);
    note_end(it, s_stop_within);
    return base::done{};
}

std::vector<int> cell::process_ids() const
{
    std::vector<int> out;
    for (auto const& it : m_entries)
    {
        if (it.process.started())
        {
            out.push_back(it.process.id());
        }
    }
    return out;
}

bool cell::ready(int entry) const
{
    auto const& it = m_entries[static_cast<std::size_t>(entry - 1)];
    platform::http_request const question{"GET", "/v1/health", {}, {}, {}};
    auto const reply = base::capture(
        [&]
        { return m_pool->send(it.address.http, question, s_request_timeout); });
    return reply && reply.value().status == s_ok;
}

base::result<base::done>
cell::fault(std::string const& subject, std::string const& name, double value)
{
    Json::Value body;
    body["subject"] = subject;
    body["fault"] = name;
    body["value"] = value;
    platform::http_request const request{
        "POST", "/control", {}, "application/json", model::text_of(body)};
    for (std::size_t n = 0; n < s_stand_in_ports; ++n)
    {
        BOOST_LEAF_AUTO(
            reply, m_pool->send(local(m_ports[n]), request, s_request_timeout));
        if (reply.status == s_ok)
        {
            return base::done{};
        }
    }
    return base::fail(base::failure_code::invalid,
                      "no stand-in knows " + subject + " or " + name);
}

void cell::stop()
{
    for (auto& it : m_entries)
    {
        it.process.send_signal(SIGCONT);
        it.process.send_signal(SIGTERM);
    }
    for (auto& it : m_entries)
    {
        note_end(it, s_stop_within);
    }
    m_entries.clear();
    m_stand_ins.send_signal(SIGTERM);
    if (!m_stand_ins.wait(s_start_within))
    {
        m_stand_ins.send_signal(SIGKILL);
    }
}

base::result<timeline> cell::history() const
{
    std::ifstream in{m_options.directory + "/stand_ins.jsonl"};
    std::stringstream text;
    text << in.rdbuf();
    return timeline_from(text.str());
}

} // namespace berylhill::scenario
