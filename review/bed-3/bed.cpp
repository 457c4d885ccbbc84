#include "bed.hpp"

#include "../../tests/platform_adapter/stand_ins/documents.hpp"
#include "../../tests/platform_adapter/stand_ins/ports.hpp"
#include <cell/owner_lookup.hpp>

#include <boost/json.hpp>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <utility>

namespace berylhill::review
{

namespace
{

namespace json = boost::json;
using platform_test::local;
using std::chrono::milliseconds;

constexpr std::size_t ports_per_process = 4;
constexpr std::size_t ports_in_reserve = 8;

/// How long a client waits for an answer, as on the users' sheets.
constexpr milliseconds client_deadline{3'000};

/// `graceS` of the deployments.
constexpr milliseconds stop_limit{6'000};

/// How long the first start of a cell and its first job may take.
constexpr milliseconds begin_limit{20'000};

std::string address(std::uint16_t port)
{
    return text_of(local(port));
}

std::string name_of_process(std::size_t n)
{
    return "edge-" + std::to_string(n);
}

/// The folder of a case's processes; not in the repository.
std::filesystem::path temporary_folder()
{
    auto text =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(text.data()) == nullptr)
    {
        throw not_runnable{"no temporary folder"};
    }
    return text;
}

network::http_request request(network::http_method method,
                              std::string const& path,
                              std::string const& body)
{
    return {method,
            path,
            {{"Host", "h"},
             {"X-Deadline-Ms", std::to_string(client_deadline.count())}},
            body,
            body.empty() ? "" : "application/json"};
}

std::string job_document(std::string const& id,
                         std::vector<step_to_submit> const& steps)
{
    json::array rows;
    for (auto const& it : steps)
    {
        json::object row{{"count", it.count},
                         {"cpu", it.cpu},
                         {"memMb", 100},
                         {"estimateMs", it.estimate_ms}};
        if (it.after >= 0)
        {
            row["after"] = json::array{it.after};
        }
        rows.emplace_back(std::move(row));
    }
    return json::serialize(json::object{{"taskSpec", "text of " + id},
                                        {"steps", std::move(rows)}});
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
    return "OTHER";
}

} // namespace

bed::bed(std::filesystem::path const& folder,
         std::size_t wanted_instances,
         milliseconds work)
    : m_folder{temporary_folder()}
    , m_record{folder / "record.txt"}
    , m_began{std::chrono::steady_clock::now()}
{
    auto const* const asked = std::getenv("TROUBLE");
    m_trouble = asked == nullptr || std::string{asked} != "0";
    note(m_trouble ? "with the disruption" : "without the disruption");
    auto const wanted = 1 + processes * (ports_per_process + 1) +
                        wanted_instances + ports_in_reserve;
    m_next_port = platform_test::free_ports(platform_test::port_range::soak,
                                            static_cast<std::uint16_t>(wanted));
    m_store_port = m_next_port++;
    store = std::make_unique<platform_test::store_stand_in>(
        loop, local(m_store_port));
    m_client =
        std::make_unique<network::http_client>(loop, network::client_limits{});
    for (std::size_t n = 0; n < wanted_instances; ++n)
    {
        add_instance(n, work);
    }
    m_heartbeats = std::make_unique<platform_test::heartbeats>(
        loop, *store,
        [this]
        {
            std::vector<std::pair<std::string, std::string>> out;
            for (std::size_t n = 0; n < instances.size(); ++n)
            {
                out.emplace_back(
                    instances[n]->id(),
                    instances[n]->heartbeat(local(m_announced_ports[n])));
            }
            return out;
        });
    for (std::size_t n = 0; n < processes; ++n)
    {
        m_link_ports.push_back(m_next_port++);
        links.push_back(std::make_unique<platform_test::fault_link>(
            loop, local(m_link_ports.back()), local(m_store_port)));
    }
    m_first_process_port = m_next_port;
    m_next_port =
        static_cast<std::uint16_t>(m_next_port + processes * ports_per_process);
    m_processes.resize(processes);
}

bed::~bed()
{
    m_processes.clear();
    std::error_code ec;
    // The logs of the processes tell more than the record.
    if (auto const* const keep = std::getenv("KEEP_LOGS"); keep != nullptr)
    {
        std::filesystem::copy(
            m_folder, keep,
            std::filesystem::copy_options::recursive |
                std::filesystem::copy_options::overwrite_existing,
            ec);
    }
    std::filesystem::remove_all(m_folder, ec);
}

void bed::note(std::string const& line)
{
    auto const now = std::chrono::steady_clock::now() - m_began;
    constexpr int digits = 3;
    m_record << std::fixed << std::setprecision(digits)
             << std::chrono::duration<double>(now).count() << ' ' << line
             << std::endl;
}

void bed::add_instance(std::size_t n, milliseconds work)
{
    auto const id = "minion-" + std::to_string(n);
    m_instance_ports.push_back(m_next_port++);
    m_announced_ports.push_back(m_instance_ports.back());
    instances.push_back(std::make_unique<platform_test::instance_stand_in>(
        loop, local(m_instance_ports.back()), id, work,
        [this, id](std::string const& task)
        {
            note(id + " starts " + task);
            if (m_acknowledged.contains(task) &&
                m_started_again.insert(task).second)
            {
                note("BROKEN: " + task +
                     " has ended done, and that end was acknowledged");
            }
            m_runs.push_back({task, id, false, {}});
        }));
    instances.back()->on_acknowledged(
        [this, id](std::string const& task)
        {
            note(id + " is told that the end of " + task + " is noted");
            m_acknowledged.insert(task);
        });
    instances.back()->tell_birth();
    instances.back()->on_end(
        [this, id](std::string const& task, std::string const& how)
        {
            note(id + " lists the end of " + task + ": " + how);
            auto const at = std::ranges::find_if(
                m_runs, [&](seen_run const& it)
                { return it.task == task && it.instance == id && !it.ended; });
            if (at != m_runs.end())
            {
                at->ended = true;
                at->how = how;
            }
        });
}

void bed::announce(std::size_t n)
{
    store->put(platform_test::instances_topic, instances[n]->id(),
               instances[n]->heartbeat(local(m_announced_ports[n])));
    note(instances[n]->id() + " writes its entry");
}

void bed::wait(milliseconds time)
{
    wait_until([] { return false; }, time);
}

void bed::write_configuration(std::string const& text,
                              std::vector<std::string> const& queues,
                              std::string const& rest)
{
    store->put(platform_test::operators_topic, platform_test::configuration_key,
               text);
    std::string names;
    for (auto const& it : queues)
    {
        names += " /" + it + "/";
    }
    note("operator writes configuration " + std::to_string(m_version) + " of " +
         std::to_string(text.size()) + " bytes, with the routes" + names +
         rest);
}

void bed::configure(std::vector<std::string> const& queues, std::size_t bytes)
{
    ++m_version;
    write_configuration(
        platform_test::configuration_document(m_version, queues, bytes), queues,
        bytes > 0 ? " and many others" : "");
}

void bed::configure(std::vector<std::string> const& queues,
                    std::string const& service)
{
    ++m_version;
    write_configuration(
        platform_test::configuration_document(m_version, queues, service),
        queues, " sent to the service " + service);
}

void bed::set_machine(std::size_t process, double cores, double link_mbps)
{
    constexpr double bytes_per_megabit = 125'000;
    m_machines[process] = {cores, link_mbps};
    links[process]->set_rate(
        static_cast<std::size_t>(link_mbps * bytes_per_megabit));
}

std::uint16_t bed::port_of(std::size_t process, std::size_t which) const
{
    return static_cast<std::uint16_t>(m_first_process_port +
                                      process * ports_per_process + which);
}

/// As `deploy/cell.json.template` makes them of the settings of a small
/// deployment.
void bed::write_settings(std::size_t n) const
{
    json::object const out{
        {"instance", name_of_process(n)},
        {"zone", "zone-" + std::to_string(n)},
        {"listen", json::object{{"callers", address(port_of(n, 0))},
                                {"readiness", address(port_of(n, 1))},
                                {"peer", address(port_of(n, 2))},
                                {"metrics", address(port_of(n, 3))}}},
        {"platform", json::object{{"store", address(m_link_ports[n])},
                                  {"advice", ""},
                                  {"record_bytes", 262'144},
                                  {"append_bytes", 2'097'152},
                                  {"machines", ""}}},
        {"bounds", json::object{{"longest_lease_ms", 10'000},
                                {"stop_grace_s", 6},
                                {"status_kept_s", 120},
                                {"heartbeat_ms", 1'500},
                                {"contact_ms", 3'000},
                                {"configuration_ms", 2'000}}},
        {"limits", json::object{{"memory_mb", 260},
                                {"descriptors", 4'100},
                                {"cores", m_machines[n].cores},
                                {"link_mbps", m_machines[n].link_mbps}}}};
    std::ofstream{m_folder / (name_of_process(n) + ".json")}
        << json::serialize(out);
}

void bed::start_process(std::size_t n)
{
    write_settings(n);
    auto const settings = m_folder / (name_of_process(n) + ".json");
    // The program reads the variable when it starts; the bed has one thread.
    ::setenv("BERYLHILL_NODE_FILE", settings.c_str(), 1);
    m_processes[n] = std::make_unique<platform_test::process>(
        std::vector<std::string>{"target/bin/berylhill", "cell"},
        (m_folder / (name_of_process(n) + ".log")).string());
    note(name_of_process(n) + " is started");
}

void bed::kill_process(std::size_t n)
{
    note(name_of_process(n) + " is killed");
    m_processes[n]->signal(SIGKILL);
    wait_until([&] { return m_processes[n]->ended(); }, client_deadline);
}

void bed::stop_process(std::size_t n)
{
    note(name_of_process(n) + " gets SIGTERM");
    m_processes[n]->signal(SIGTERM);
    wait_until([&] { return m_processes[n]->ended(); }, stop_limit);
    note(name_of_process(n) + " has ended");
}

std::size_t bed::owner() const
{
    auto const record = store->newest_value(cell::owner_key);
    for (std::size_t n = 0; n < processes; ++n)
    {
        if (record.find('"' + name_of_process(n) + '"') != record.npos)
        {
            return n;
        }
    }
    throw not_runnable{"no process has claimed the work"};
}

unsigned bed::call(std::size_t process,
                   network::http_method method,
                   std::string const& path,
                   std::string const& body)
{
    std::optional<network::call_result> end;
    m_client->call(local(port_of(process, 0)), request(method, path, body),
                   client_deadline,
                   [&](network::call_result const& it) { end = it; });
    wait_until([&] { return end.has_value(); }, 2 * client_deadline);
    auto const status = end ? end->response.status : 0U;
    m_last_body = end ? end->response.body : std::string{};
    note("client asks " + name_of_process(process) + " " + name_of(method) +
         " " + path + " -> " + std::to_string(status) + " " + m_last_body);
    return status;
}

void bed::submit_beside(std::size_t process,
                        std::string const& queue,
                        std::string const& id,
                        std::vector<step_to_submit> const& steps)
{
    m_client->call(local(port_of(process, 0)),
                   request(network::http_method::post, "/" + queue + "/" + id,
                           job_document(id, steps)),
                   client_deadline,
                   [this, process, id](network::call_result const& it)
                   {
                       note("client asks " + name_of_process(process) +
                            " POST " + id + " -> " +
                            std::to_string(it.response.status));
                   });
}

unsigned bed::submit(std::size_t process,
                     std::string const& queue,
                     std::string const& id,
                     std::vector<step_to_submit> const& steps)
{
    return call(process, network::http_method::post, "/" + queue + "/" + id,
                job_document(id, steps));
}

std::string
bed::state(std::size_t process, std::string const& queue, std::string const& id)
{
    constexpr unsigned ok = 200;
    if (call(process, network::http_method::get, "/" + queue + "/" + id) != ok)
    {
        return {};
    }
    boost::system::error_code ec;
    auto const root = json::parse(m_last_body, ec);
    return ec ? std::string{} : json_codec::text_or(root, "state");
}

void bed::begin()
{
    configure({"q"});
    for (std::size_t n = 0; n < processes; ++n)
    {
        start_process(n);
    }
    std::optional<unsigned> status;
    auto const ready = [&](std::size_t n)
    {
        std::optional<unsigned> got;
        m_client->call(
            local(port_of(n, 1)),
            {network::http_method::get, "/api/readiness", {}, {}, {}},
            client_deadline,
            [&](network::call_result const& it) { got = it.response.status; });
        wait_until([&] { return got.has_value(); }, client_deadline);
        constexpr unsigned ok = 200;
        return got == ok;
    };
    auto const end = std::chrono::steady_clock::now() + begin_limit;
    for (std::size_t n = 0; n < processes; ++n)
    {
        while (!ready(n))
        {
            if (std::chrono::steady_clock::now() > end)
            {
                throw not_runnable{"a process is not ready"};
            }
            wait(milliseconds{100});
        }
    }
    note("all processes are ready");
    std::string const first = "00000000000000a1";
    constexpr unsigned ok = 200;
    if (submit(0, "q", first, {{}}) != ok ||
        !wait_until([&] { return done(first + ".0.0.0"); }, begin_limit))
    {
        throw not_runnable{"the first job was not carried out"};
    }
    wait(milliseconds{1'000});
}

bool bed::begun(std::string const& task) const
{
    return std::ranges::any_of(m_runs, [&](seen_run const& it)
                               { return it.task == task; });
}

bool bed::done(std::string const& task) const
{
    return std::ranges::any_of(m_runs, [&](seen_run const& it)
                               { return it.task == task && it.how == "done"; });
}

bool bed::anything_runs() const
{
    return std::ranges::any_of(instances, [](auto const& it)
                               { return !it->running().empty(); });
}

} // namespace berylhill::review
