#include <harness/world.hpp>

#include <stand_ins/documents.hpp>
#include <stand_ins/ports.hpp>

#include <boost/json.hpp>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <set>
#include <stdexcept>
#include <string_view>
#include <utility>

#include <unistd.h>

namespace berylhill::review
{

namespace
{

using platform_test::local;

constexpr std::size_t ports_per_process = 4;
constexpr std::chrono::milliseconds step{5};
constexpr std::chrono::milliseconds heartbeat{1'500};
constexpr std::chrono::milliseconds client_deadline{3'000};
constexpr std::chrono::milliseconds readiness_timeout{500};
constexpr unsigned status_ok = 200;
constexpr std::int64_t cpu_millis = 32'000;

std::size_t count_of(std::vector<std::string> const& names,
                     std::string const& job,
                     int step_index)
{
    auto const prefix = job + ".0." + std::to_string(step_index) + ".";
    return static_cast<std::size_t>(std::ranges::count_if(
        names, [&](std::string const& it) { return it.starts_with(prefix); }));
}

std::string two_digits(std::size_t it)
{
    constexpr std::size_t ten = 10;
    return std::to_string(it / ten) + std::to_string(it % ten);
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
    return "?";
}

} // namespace

script_options options_from(int count, char** arguments)
{
    constexpr int wanted = 3;
    if (count != wanted)
    {
        throw std::runtime_error{"usage: review_N BINARY FOLDER"};
    }
    auto const* const trouble = std::getenv("TROUBLE");
    return {arguments[1], arguments[2],
            trouble == nullptr || std::string_view{trouble} != "0"};
}

world::world(script_options const& how, world_size const& size)
    : m_how{how}
    , m_size{size}
    , m_record{how.folder / "record.txt"}
    , m_began{std::chrono::steady_clock::now()}
    , m_heartbeat{m_loop}
    , m_client{m_loop, {}}
{
    auto pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX");
    auto name = pattern.string();
    if (::mkdtemp(name.data()) == nullptr)
    {
        throw std::runtime_error{"no temporary folder"};
    }
    m_scratch = name;
    auto ports = 1 + size.processes * ports_per_process;
    for (auto const& it : size.pools)
    {
        ports += it.instances * (it.can_crash ? 2 : 1);
    }
    std::size_t port = platform_test::free_ports(
        platform_test::port_range::tests, static_cast<std::uint16_t>(ports));
    m_store_port = port++;
    m_store = std::make_unique<bounded_store>(
        m_loop, local(m_store_port),
        [this](std::size_t largest, std::size_t all)
        { append_rejected(largest, all); });
    for (std::size_t pool = 0; pool < size.pools.size(); ++pool)
    {
        for (std::size_t n = 0; n < size.pools[pool].instances; ++n)
        {
            auto const proxy = size.pools[pool].can_crash ? port++ : port;
            add_instance(pool, port++, proxy);
        }
    }
    every_heartbeat();
    for (std::size_t n = 0; n < size.processes; ++n)
    {
        m_members.push_back({"edge-" + std::to_string(n), port, nullptr});
        port += ports_per_process;
    }
}

world::~world()
{
    m_members.clear();
    std::error_code ec;
    std::filesystem::remove_all(m_scratch, ec);
}

void world::add_instance(std::size_t pool, std::size_t port, std::size_t proxy)
{
    auto const number = m_workers.size();
    worker made;
    made.pool = pool;
    made.reached_at = local(proxy);
    if (proxy != port)
    {
        made.link = std::make_unique<platform_test::fault_link>(
            m_loop, made.reached_at, local(port));
    }
    made.instance = std::make_unique<platform_test::instance_stand_in>(
        m_loop, local(port), "i-7f3a91" + two_digits(number),
        m_size.pools[pool].work,
        [this, number](std::string const& task) { started(number, task); });
    made.instance->on_end(
        [this, number](std::string const& task, std::string const& how)
        { ended(number, task, how); });
    made.instance->set_cpu(cpu_millis);
    if (m_size.pools[pool].tell_birth)
    {
        made.instance->tell_birth();
    }
    m_workers.push_back(std::move(made));
}

void world::started(std::size_t number, std::string const& task)
{
    auto const& it = m_workers[number];
    m_starts.push_back(task);
    if (m_size.pools[it.pool].record_tasks)
    {
        record("minion " + it.instance->id() + " starts " + task);
    }
}

void world::ended(std::size_t number,
                  std::string const& task,
                  std::string const& how)
{
    auto const& it = m_workers[number];
    if (how == "done")
    {
        m_done.push_back(task);
    }
    if (m_size.pools[it.pool].record_tasks)
    {
        record("minion " + it.instance->id() + " lists the end of " + task +
               ": " + how);
    }
}

/// The stand-in names one service, kind and rack; here each pool has its own.
std::string world::entry_of(worker const& it) const
{
    auto out = boost::json::parse(it.instance->heartbeat(it.reached_at));
    auto const& pool = m_size.pools[it.pool];
    out.as_object()["service"] = pool.service;
    out.as_object()["labels"] = boost::json::array{pool.kind, pool.rack};
    return boost::json::serialize(out);
}

/// The entry of an instance is removed after three intervals of silence.
void world::every_heartbeat()
{
    constexpr int missed_at_removal = 3;
    for (auto& it : m_workers)
    {
        if (it.missed)
        {
            if (++*it.missed == missed_at_removal)
            {
                m_store->put(platform_test::instances_topic, it.instance->id(),
                             {});
                record("store removes the entry of " + it.instance->id());
            }
            continue;
        }
        m_store->put(platform_test::instances_topic, it.instance->id(),
                     entry_of(it));
    }
    m_heartbeat.expires_after(heartbeat);
    m_heartbeat.async_wait(
        [this](auto ec)
        {
            if (!ec)
            {
                every_heartbeat();
            }
        });
}

/// The first few and then each thousandth are recorded.
void world::append_rejected(std::size_t largest_record, std::size_t all)
{
    constexpr std::size_t first = 3;
    constexpr std::size_t one_in = 1'000;
    if (++m_rejected <= first || m_rejected % one_in == 0)
    {
        record("store rejects an append (400), number " +
               std::to_string(m_rejected) + ": largest record " +
               std::to_string(largest_record) + " bytes, all " +
               std::to_string(all) + " bytes");
    }
}

void world::record(std::string const& line)
{
    auto const ms = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - m_began);
    m_record << ms.count() << " ms  " << line << '\n' << std::flush;
}

void world::run_for(std::chrono::milliseconds limit)
{
    run_until([] { return false; }, limit);
}

bool world::run_until(std::function<bool()> const& holds,
                      std::chrono::milliseconds limit)
{
    auto const until = std::chrono::steady_clock::now() + limit;
    while (!holds())
    {
        if (std::chrono::steady_clock::now() >= until)
        {
            return false;
        }
        m_loop.run_for(step);
    }
    return true;
}

unsigned world::send(network::socket_address const& to,
                     network::http_request request)
{
    auto ended = false;
    unsigned status = 0;
    m_client.call(to, std::move(request), client_deadline,
                  [&](network::call_result const& it)
                  {
                      ended = true;
                      status = it.end == network::call_end::answered
                                   ? it.response.status
                                   : 0;
                      m_answer = it.response.body;
                  });
    run_until([&] { return ended; }, 2 * client_deadline);
    return status;
}

unsigned world::call(std::size_t process,
                     network::http_method method,
                     std::string const& target,
                     std::string const& body)
{
    auto const& to = m_members[process];
    auto const what = std::string{name_of(method)} + " " + target;
    record("client sends " + what + " to " + to.name +
           (body.empty() ? "" : ", " + std::to_string(body.size()) + " bytes"));
    auto const status =
        send(local(to.first_port),
             {method,
              target,
              {{"Host", "h"},
               {"X-Deadline-Ms", std::to_string(client_deadline.count())}},
              body,
              "application/json"});
    record("client gets " + std::to_string(status) + " " + m_answer + " for " +
           what);
    return status;
}

bool world::all_ready()
{
    for (auto const& it : m_members)
    {
        auto ended = false;
        auto ready = false;
        m_client.call(local(it.first_port + 1),
                      {network::http_method::get, "/api/readiness", {}, {}, {}},
                      readiness_timeout,
                      [&](network::call_result const& result)
                      {
                          ended = true;
                          ready = result.end == network::call_end::answered &&
                                  result.response.status == status_ok;
                      });
        run_until([&] { return ended; }, 2 * readiness_timeout);
        if (!ready)
        {
            return false;
        }
    }
    return true;
}

std::size_t world::owner() const
{
    auto const claim = m_store->newest_value("keyed.cell", "~owner");
    auto const at = std::ranges::find_if(
        m_members, [&](member const& it)
        { return claim.find('"' + it.name + '"') != claim.npos; });
    if (at == m_members.end())
    {
        throw std::runtime_error{"no claim names a process"};
    }
    return static_cast<std::size_t>(at - m_members.begin());
}

/// As `deploy/cell.json.template` makes them of a small deployment's fields.
void world::write_settings(member const& it) const
{
    auto const at = [&](std::size_t n)
    {
        return '"' + text_of(local(it.first_port + n)) + '"';
    };
    std::ofstream{m_scratch / (it.name + ".json")}
        << R"({"instance":")" << it.name << R"(","zone":"a","listen":{)"
        << R"("callers":)" << at(0) << R"(,"readiness":)" << at(1)
        << R"(,"peer":)" << at(2) << R"(,"metrics":)" << at(3)
        << R"(},"platform":{"store":")" << text_of(local(m_store_port))
        << R"("},"bounds":{"longest_lease_ms":10000,"stop_grace_s":6,)"
        << R"("status_kept_s":120,"heartbeat_ms":1500,"contact_ms":3000,)"
        << R"("configuration_ms":2000},"limits":{"memory_mb":260,)"
        << R"("descriptors":4100,"cores":0.25,"link_mbps":1000.0}})";
}

std::size_t world::state_bytes(std::string const& job) const
{
    return m_store->newest_value("keyed.cell", "s:" + job).size();
}

void world::start(std::size_t process)
{
    constexpr char const* settings_variable = "BERYLHILL_NODE_FILE";
    auto& it = m_members[process];
    write_settings(it);
    ::setenv(settings_variable, (m_scratch / (it.name + ".json")).c_str(), 1);
    record("platform starts " + it.name);
    it.process = std::make_unique<platform_test::process>(
        std::vector<std::string>{m_how.binary, "cell"},
        (m_scratch / (it.name + ".log")).string());
}

void world::signal(std::size_t process, int number)
{
    auto const& it = m_members[process];
    auto const* const name = number == SIGTERM   ? "SIGTERM"
                             : number == SIGKILL ? "SIGKILL"
                                                 : "a signal";
    record("platform sends " + std::string{name} + " to " + it.name);
    it.process->signal(number);
}

bool world::ended(std::size_t process)
{
    return m_members[process].process->ended();
}

void world::configure(std::vector<queue> const& queues)
{
    ++m_version;
    std::string names;
    std::vector<std::string> paths;
    for (auto const& [path, service] : queues)
    {
        names.append(" /").append(path).append("/ (");
        names.append(service).append(")");
        paths.push_back(path);
    }
    auto out = boost::json::parse(
        platform_test::configuration_document(m_version, paths));
    boost::json::array services;
    std::set<std::string> named;
    for (auto const& it : m_size.pools)
    {
        if (!named.insert(it.service).second)
        {
            continue;
        }
        services.emplace_back(boost::json::object{{"name", it.service},
                                                  {"enforcesCapacity", false}});
    }
    auto& root = out.as_object();
    root["services"] = std::move(services);
    for (std::size_t n = 0; n < queues.size(); ++n)
    {
        root["routes"].as_array()[n].as_object()["service"] = queues[n].second;
    }
    m_store->put(platform_test::operators_topic,
                 platform_test::configuration_key, boost::json::serialize(out));
    record("operator writes version " + std::to_string(m_version) +
           ", acknowledged; routes:" + names);
}

std::optional<std::size_t> world::place_of(std::string const& job) const
{
    for (std::size_t n = 0; n < m_workers.size(); ++n)
    {
        auto const all = m_workers[n].instance->running();
        if (std::ranges::any_of(all, [&](std::string const& task)
                                { return task.starts_with(job + "."); }))
        {
            return n;
        }
    }
    return std::nullopt;
}

/// What runs there ends with it, and nobody lists those ends.
void world::end_instance(std::size_t number, platform_test::link_state link)
{
    auto& it = m_workers[number];
    it.link->set(link);
    it.instance->restart(it.instance->id());
    it.missed = 0;
}

void world::crash(std::size_t instance)
{
    end_instance(instance, platform_test::link_state::refusing);
    m_workers[instance].link->reset();
    record("minion " + m_workers[instance].instance->id() + " crashes");
}

void world::lose(std::size_t instance)
{
    end_instance(instance, platform_test::link_state::silent);
    record("minion " + m_workers[instance].instance->id() +
           " is lost for good, with the power of its machine");
}

void world::start_again(std::size_t instance)
{
    auto& it = m_workers[instance];
    auto const former = it.instance->id();
    it.instance->restart(m_size.pools[it.pool].tell_birth ? former
                                                          : former + "-b");
    it.missed.reset();
    it.link->set(platform_test::link_state::open);
    m_store->put(platform_test::instances_topic, it.instance->id(),
                 entry_of(it));
    record("minion " + it.instance->life() + " has started again");
}

std::size_t world::running(std::string const& job) const
{
    std::size_t out = 0;
    for (auto const& it : m_workers)
    {
        auto const all = it.instance->running();
        out += static_cast<std::size_t>(
            std::ranges::count_if(all, [&](std::string const& task)
                                  { return task.starts_with(job + "."); }));
    }
    return out;
}

std::size_t world::done(std::string const& job, int step_index) const
{
    return count_of(m_done, job, step_index);
}

std::size_t world::done(std::string const& job) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_done, [&](std::string const& it)
                              { return it.starts_with(job + "."); }));
}

std::size_t world::starts(std::string const& job, int step_index) const
{
    return count_of(m_starts, job, step_index);
}

} // namespace berylhill::review
