#include "cell_fixture.hpp"

#include "stand_ins/cell_process.hpp"
#include "stand_ins/documents.hpp"
#include "stand_ins/ports.hpp"

#include <cell/peer_messages.hpp>
#include <cell/peer_paths.hpp>

#include <unistd.h>

#include <csignal>

namespace berylhill::platform_test
{

namespace
{

constexpr std::size_t instance_count = 2;
constexpr std::chrono::milliseconds work{150};

std::string job_path(std::uint64_t id)
{
    return "/q/" + text_of(workload::job_id{id});
}

} // namespace

cell_fixture::cell_fixture(settings::cell_limit_settings const& machine)
    : m_machine{machine}
    , m_first_port{free_ports(
          port_range::tests,
          static_cast<std::uint16_t>(ports_per_process * processes + 2 +
                                     instance_count + processes))}
    , m_folder{std::filesystem::temp_directory_path() /
               ("berylhill-cell-" + std::to_string(::getpid()) + "-" +
                std::to_string(m_first_port))}
{
    std::filesystem::create_directories(m_folder);
    auto port = std::size_t{m_first_port} + ports_per_process * processes;
    store = std::make_unique<store_stand_in>(loop, local(port++));
    store->put(operators_topic, configuration_key,
               configuration_document(1, {"q"}));
    for (std::size_t n = 0; n < instance_count; ++n)
    {
        instances.push_back(std::make_unique<instance_stand_in>(
            loop, local(port++), "i-" + std::to_string(n), work,
            [this](std::string const& task) { ++started[task]; }));
        store->put(instances_topic, instances.back()->id(),
                   instances.back()->heartbeat());
    }
    m_heartbeats = std::make_unique<heartbeats>(
        loop, *store,
        [this]
        {
            std::vector<std::pair<std::string, std::string>> out;
            for (auto const& it : instances)
            {
                out.emplace_back(it->id(), it->heartbeat());
            }
            return out;
        });
    m_spare = local(port++);
    m_first_link = static_cast<std::uint16_t>(port);
    cells.resize(processes);
    for (std::size_t n = 0; n < processes; ++n)
    {
        start_process(n);
    }
}

cell_fixture::~cell_fixture()
{
    cells.clear();
    std::error_code ec;
    std::filesystem::remove_all(m_folder, ec);
}

std::uint16_t cell_fixture::store_port() const
{
    return static_cast<std::uint16_t>(m_first_port +
                                      ports_per_process * processes);
}

void cell_fixture::start_process(std::size_t n)
{
    start_process(n, store_port());
}

void cell_fixture::start_process(std::size_t n, std::uint16_t store_port)
{
    cell_process it{BERYLHILL_BINARY, m_folder, "cell-" + std::to_string(n),
                    callers_port(n), store_port};
    it.machine = m_machine;
    cells[n] = start(it);
}

std::uint16_t cell_fixture::callers_port(std::size_t process) const
{
    return static_cast<std::uint16_t>(m_first_port +
                                      process * ports_per_process);
}

void cell_fixture::stop_process(std::size_t n)
{
    cells[n]->signal(SIGKILL);
    run_until([&] { return cells[n]->ended(); });
}

network::http_response cell_fixture::ask(std::uint16_t port,
                                         network::http_request it)
{
    std::optional<network::call_result> out;
    m_client.call(local(port), std::move(it), std::chrono::seconds{3},
                  [&](network::call_result const& end) { out = end; });
    run_until([&] { return out.has_value(); });
    return out ? out->response : network::http_response{};
}

network::http_request cell_fixture::request(network::http_method method,
                                            std::string const& path,
                                            std::string const& body) const
{
    std::vector<network::http_field> fields{{"Host", "h"}};
    if (!m_key.empty())
    {
        fields.push_back({"X-Key", m_key});
    }
    return {method, path, std::move(fields), body, "application/json"};
}

void cell_fixture::submit_beside(std::size_t process,
                                 std::uint64_t id,
                                 std::optional<unsigned>& status)
{
    m_client.call(local(callers_port(process)),
                  request(network::http_method::post, job_path(id),
                          job_document(500, work.count())),
                  std::chrono::seconds{5},
                  [&status](network::call_result const& end)
                  {
                      status = end.end == network::call_end::answered
                                   ? end.response.status
                                   : 0U;
                  });
}

void cell_fixture::call_beside(std::size_t process,
                               network::http_method method,
                               std::string const& path,
                               std::string const& body,
                               std::chrono::milliseconds patience,
                               std::optional<unsigned>& status)
{
    auto it = request(method, path, body);
    it.fields.push_back({"X-Deadline-Ms", std::to_string(patience.count())});
    m_client.call(local(callers_port(process)), std::move(it), patience,
                  [&status](network::call_result const& end)
                  {
                      status = end.end == network::call_end::answered
                                   ? end.response.status
                                   : 0U;
                  });
}

unsigned cell_fixture::call(std::size_t process,
                            network::http_method method,
                            std::string const& path,
                            std::string const& body)
{
    auto const end = ask(callers_port(process), request(method, path, body));
    m_last_body = end.body;
    return end.status;
}

unsigned cell_fixture::submit(std::size_t process, std::uint64_t id)
{
    return call(process, network::http_method::post, job_path(id),
                job_document(500, work.count()));
}

bool cell_fixture::completed(std::size_t process, std::uint64_t id)
{
    return call(process, network::http_method::get, job_path(id)) == 200 &&
           m_last_body.find("completed") != std::string::npos;
}

bool cell_fixture::all_ready()
{
    return run_until([&] { return ready(0) && ready(1) && ready(2); });
}

bool cell_fixture::ready(std::size_t process)
{
    return ask(static_cast<std::uint16_t>(callers_port(process) + 1),
               {network::http_method::get, "/api/readiness", {}, {}, {}})
               .status == 200;
}

std::optional<std::size_t> cell_fixture::owner()
{
    for (std::size_t n = 0; n < processes; ++n)
    {
        auto const end = ask(
            static_cast<std::uint16_t>(callers_port(n) + 2),
            {network::http_method::post,
             std::string{cell::peer_paths::watch},
             {},
             cell::text_of(cell::watch_request{{"test", local(1)}, 0, {}, {}}),
             "application/json"});
        auto const view =
            base::capture([&] { return cell::parse_watch(end.body); });
        if (view && view.value().owns)
        {
            return n;
        }
    }
    return std::nullopt;
}

} // namespace berylhill::platform_test
