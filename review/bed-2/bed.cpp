#include "bed.hpp"

#include <boost/json.hpp>

#include <cell/peer_messages.hpp>
#include <cell/peer_paths.hpp>

#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <initializer_list>
#include <iomanip>
#include <sstream>
#include <string_view>
#include <utility>

namespace berylhill::review
{

namespace
{

using platform_test::local;

/// Callers, readiness, peers, metrics.
constexpr std::size_t ports_per_process = 4;

/// How long a client of the small deployments waits.
constexpr std::chrono::milliseconds patience{3'000};

std::string field(char const* name, std::string const& value)
{
    return std::string{"\""} + name + "\":\"" + value + "\"";
}

std::string join(std::initializer_list<std::string_view> words)
{
    std::string out;
    for (auto const& it : words)
    {
        out += out.empty() ? "" : " ";
        out += it;
    }
    return out;
}

char const* name_of(network::http_method it)
{
    switch (it)
    {
    case network::http_method::get:
        return "GET";
    case network::http_method::post:
        return "POST";
    case network::http_method::remove:
        return "DELETE";
    case network::http_method::other:
        break;
    }
    return "other";
}

} // namespace

bed::bed(run_options const& options, bed_size const& size)
    : m_options{options}
    , m_record{options.record}
    , m_folder{std::filesystem::temp_directory_path() /
               ("berylhill-review-" + std::to_string(::getpid()))}
    , m_longest_lease_ms{size.longest_lease_ms}
    , m_first_port{platform_test::free_ports(
          platform_test::port_range::tests,
          static_cast<std::uint16_t>(ports_per_process * size.processes + 1 +
                                     2 * size.instances))}
{
    std::filesystem::create_directories(m_folder);
    auto port = m_first_port + ports_per_process * size.processes;
    m_store_port = port++;
    m_store = std::make_unique<platform_test::store_stand_in>(
        m_loop, local(m_store_port));
    m_store->set_append_delay(4ms);
    for (std::size_t n = 0; n < size.instances; ++n)
    {
        auto const id = "i-" + std::to_string(n);
        m_instances.push_back(std::make_unique<
                              platform_test::instance_stand_in>(
            m_loop, local(port++), id, size.work,
            [this, n](std::string const& task)
            {
                ++m_begun[task];
                note(join({"minion", m_instances[n]->id(), "begins", task}));
            }));
        m_instances.back()->on_end(
            [this, n](std::string const& task, std::string const& how)
            {
                m_done[task] += how == "done" ? 1 : 0;
                note(join({"minion", m_instances[n]->id(), "ends", task, how}));
            });
        m_reached_at.push_back(local(port++));
        m_links.push_back(std::make_unique<platform_test::fault_link>(
            m_loop, m_reached_at.back(), local(port - 2)));
        m_store->put(platform_test::instances_topic, id, entry(n));
    }
    m_heartbeats = std::make_unique<platform_test::heartbeats>(
        m_loop, *m_store,
        [this]
        {
            std::vector<std::pair<std::string, std::string>> out;
            for (std::size_t n = 0; n < m_instances.size(); ++n)
            {
                out.emplace_back(m_instances[n]->id(), entry(n));
            }
            return out;
        });
    m_processes.resize(size.processes);
    m_signalled.resize(size.processes);
}

bed::~bed()
{
    m_processes.clear();
    std::error_code ec;
    std::filesystem::remove_all(m_folder, ec);
}

std::size_t bed::port_of(std::size_t process) const
{
    return m_first_port + process * ports_per_process;
}

/// What `deploy/cell.json.template` makes of the settings of a small
/// deployment.
void bed::write_settings(std::size_t n) const
{
    auto const at = [&](std::size_t offset)
    {
        return text_of(local(port_of(n) + offset));
    };
    std::ofstream out{m_folder / ("edge-" + std::to_string(n) + ".json")};
    out << "{" << field("instance", "edge-a-" + std::to_string(n)) << ","
        << field("zone", "a") << ",\"listen\":{" << field("callers", at(0))
        << "," << field("readiness", at(1)) << "," << field("peer", at(2))
        << "," << field("metrics", at(3)) << "},\"platform\":{"
        << field("store", text_of(local(m_store_port)))
        << R"(,"record_bytes":262144,"append_bytes":2097152},"bounds":{)"
        << R"("longest_lease_ms":)" << m_longest_lease_ms
        << R"(,"stop_grace_s":6,"status_kept_s":120,)"
        << R"("heartbeat_ms":1500,"contact_ms":3000,"configuration_ms":2000},)"
        << R"("limits":{"memory_mb":260,"descriptors":4100,"cores":0.25,)"
        << R"("link_mbps":1000.0}})";
}

/// With the command of the deploy file; the settings file is named as the
/// platform names it.
void bed::start(std::size_t n)
{
    write_settings(n);
    auto const name = "edge-" + std::to_string(n);
    ::setenv("BERYLHILL_NODE_FILE", (m_folder / (name + ".json")).c_str(), 1);
    m_processes[n] = std::make_unique<platform_test::process>(
        std::vector<std::string>{m_options.binary, "cell"},
        (m_folder / (name + ".log")).string());
    m_signalled[n] = false;
    note("process " + std::to_string(n) + " started");
}

double bed::now() const
{
    return std::chrono::duration<double>(clock::now() - m_began).count();
}

void bed::note(std::string const& line)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(3) << std::setw(8) << now() << "  "
        << line;
    m_record << out.str() << std::endl;
}

bool bed::all_ready()
{
    for (std::size_t n = 0; n < m_processes.size(); ++n)
    {
        start(n);
    }
    auto const all = [this]
    {
        for (std::size_t n = 0; n < m_processes.size(); ++n)
        {
            if (!ready(n))
            {
                return false;
            }
        }
        return true;
    };
    return run_until(all, 20s);
}

std::optional<network::http_response> bed::ask(std::size_t port,
                                               network::http_request it,
                                               std::chrono::milliseconds limit)
{
    std::optional<network::call_result> out;
    m_client.call(local(port), std::move(it), limit,
                  [&](network::call_result const& end) { out = end; });
    run_until([&] { return out.has_value(); }, limit + 1s);
    if (!out || out->end != network::call_end::answered)
    {
        return std::nullopt;
    }
    return out->response;
}

bool bed::ready(std::size_t n)
{
    auto const it =
        ask(port_of(n) + 1,
            {network::http_method::get, "/api/readiness", {}, {}, {}}, 1s);
    return it && it->status == 200;
}

std::optional<std::size_t> bed::owner()
{
    for (std::size_t n = 0; n < m_processes.size(); ++n)
    {
        auto const it = ask(port_of(n) + 2,
                            {network::http_method::post,
                             std::string{cell::peer_paths::watch},
                             {},
                             cell::text_of(cell::watch_request{
                                 {"review", local(1)}, 0, {}, {}}),
                             "application/json"},
                            1s);
        if (!it)
        {
            continue;
        }
        auto const view =
            base::capture([&] { return cell::parse_watch(it->body); });
        if (view && view.value().owns)
        {
            return n;
        }
    }
    return std::nullopt;
}

answer bed::call(std::size_t process,
                 network::http_method method,
                 std::string const& path,
                 std::string const& body)
{
    auto const what = std::string{name_of(method)} + " " + path;
    note("client to process " + std::to_string(process) + ": " + what);
    std::vector<network::http_field> fields{
        {"Host", "h"}, {"X-Deadline-Ms", std::to_string(patience.count())}};
    if (!m_key.empty())
    {
        fields.push_back({"X-Key", m_key});
    }
    auto const it = ask(
        port_of(process),
        {method, path, std::move(fields), body, "application/json"}, patience);
    if (!it)
    {
        note("client: " + what + " has no answer");
        return {};
    }
    note("client: " + what + " -> " + std::to_string(it->status) + " " +
         it->body);
    return {it->status, it->body};
}

void bed::configure(std::vector<std::string> const& queues)
{
    ++m_version;
    m_store->put(platform_test::operators_topic,
                 platform_test::configuration_key,
                 platform_test::configuration_document(m_version, queues));
    std::string names;
    for (auto const& it : queues)
    {
        names += " " + it;
    }
    note("operator writes version " + std::to_string(m_version) + ", routes" +
         names);
}

void bed::configure(std::string const& document, std::string const& what)
{
    m_store->put(platform_test::operators_topic,
                 platform_test::configuration_key, document);
    note("operator writes " + what);
}

void bed::crash(std::size_t instance)
{
    auto& it = *m_instances[instance];
    auto const former = it.id();
    for (auto const& task : it.running())
    {
        note(join({"minion", former, "crashes under", task}));
    }
    it.restart(former + "-again-" + std::to_string(++m_crashes));
    m_store->put(platform_test::instances_topic, former, {});
    m_store->put(platform_test::instances_topic, it.id(), entry(instance));
    note(join({"minion", former, "is back as", it.id()}));
}

/// The stand-in knows one service and one kind only.
std::string bed::entry(std::size_t instance) const
{
    auto document = boost::json::parse(m_instances[instance]->heartbeat(
                                           m_reached_at[instance]))
                        .as_object();
    if (auto const it = m_services.find(instance); it != m_services.end())
    {
        document["service"] = it->second;
    }
    if (auto const it = m_kinds.find(instance); it != m_kinds.end())
    {
        document["labels"] = boost::json::array{it->second, "r"};
    }
    return boost::json::serialize(document);
}

void bed::set_kind(std::size_t instance, std::string const& kind)
{
    m_kinds[instance] = kind;
    m_store->put(platform_test::instances_topic, m_instances[instance]->id(),
                 entry(instance));
    note(join({"minion", m_instances[instance]->id(), "is of kind", kind}));
}

void bed::cut(std::size_t instance, bool off)
{
    m_links[instance]->set(off ? platform_test::link_state::silent
                               : platform_test::link_state::open);
    note(join({"minion", m_instances[instance]->id(),
               off ? "is cut off" : "is reached again"}));
}

void bed::set_service(std::size_t instance, std::string const& service)
{
    m_services[instance] = service;
    m_store->put(platform_test::instances_topic, m_instances[instance]->id(),
                 entry(instance));
    note(join({"minion", m_instances[instance]->id(), "is of", service}));
}

void bed::signal(std::size_t process, int number)
{
    m_signalled[process] = true;
    m_processes[process]->signal(number);
    note("process " + std::to_string(process) + " gets signal " +
         std::to_string(number));
}

bool bed::start_again(std::size_t process)
{
    auto const ended =
        run_until([&] { return m_processes[process]->ended(); }, 8s);
    if (ended)
    {
        note("process " + std::to_string(process) + " has ended");
        start(process);
    }
    return ended;
}

std::size_t bed::running(std::string const& job) const
{
    std::size_t out = 0;
    for (auto const& it : m_instances)
    {
        for (auto const& task : it->running())
        {
            out += task.starts_with(job) ? 1 : 0;
        }
    }
    return out;
}

std::size_t bed::begun(std::string const& step) const
{
    std::size_t out = 0;
    for (auto const& [task, n] : m_begun)
    {
        out += task.starts_with(step + ".") ? n : 0;
    }
    return out;
}

std::size_t bed::done(std::string const& step) const
{
    std::size_t out = 0;
    for (auto const& [task, n] : m_done)
    {
        out += task.starts_with(step + ".") ? n : 0;
    }
    return out;
}

std::size_t bed::ended_by_themselves()
{
    std::size_t out = 0;
    for (std::size_t n = 0; n < m_processes.size(); ++n)
    {
        out += !m_signalled[n] && m_processes[n]->ended() ? 1 : 0;
    }
    return out;
}

} // namespace berylhill::review
