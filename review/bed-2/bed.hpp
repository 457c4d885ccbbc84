#pragma once

#include <stand_ins/documents.hpp>
#include <stand_ins/fault_link.hpp>
#include <stand_ins/heartbeats.hpp>
#include <stand_ins/instance_stand_in.hpp>
#include <stand_ins/ports.hpp>
#include <stand_ins/process.hpp>
#include <stand_ins/store_stand_in.hpp>

#include <network/http_client.hpp>

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace berylhill::review
{

using namespace std::chrono_literals;

/// What a script of the review says of a run. The values are its exit codes.
enum class verdict : std::uint8_t
{
    held = 0,
    broken = 1,
    could_not_run = 2,
};

/// How a run is started. A value.
struct run_options
{
    /// The program that the deploy file builds.
    std::string binary;
    /// Where the record of the run is written.
    std::filesystem::path record;
    /// Whether the disruption takes place.
    bool trouble{true};
};

/// How many processes and instances a bed has. A value.
struct bed_size
{
    std::size_t processes{3};
    std::size_t instances{6};
    std::chrono::milliseconds work{1'500};
    /// `holdMaxMs` of the site.
    std::int64_t longest_lease_ms{10'000};
};

/// An answer to a caller; status 0: the connection ended without one.
struct answer
{
    unsigned status{0};
    std::string body;
};

/// A cell of real processes on loopback, with the project's stand-ins for the
/// store and the instances. Settings are those of a small deployment. Ends all
/// processes that it started. Not thread-safe.
class bed
{
public:
    using clock = std::chrono::steady_clock;

    bed(run_options const& options, bed_size const& size);
    bed(bed const&) = delete;
    bed& operator=(bed const&) = delete;
    ~bed();

    /// Runs the loop until `done`, for `limit` at most; whether it was done.
    template <class Done>
    bool run_until(Done done, std::chrono::milliseconds limit)
    {
        auto const end = clock::now() + limit;
        while (!done() && clock::now() < end)
        {
            m_loop.restart();
            m_loop.run_for(5ms);
        }
        return done();
    }

    void run_for(std::chrono::milliseconds it)
    {
        run_until([] { return false; }, it);
    }

    /// Writes a line with the time since the start into the record.
    void note(std::string const& line);

    /// Whether all processes become ready in time.
    bool all_ready();

    [[nodiscard]] bool ready(std::size_t n);

    /// The process that owns the work; nothing while none says so.
    [[nodiscard]] std::optional<std::size_t> owner();

    /// A call of a client that waits for 3 s; its answer goes into the record.
    answer call(std::size_t process,
                network::http_method method,
                std::string const& path,
                std::string const& body = {});

    /// Writes a configuration with these queues, as the operator does.
    void configure(std::vector<std::string> const& queues);

    /// The same, word for word.
    void configure(std::string const& document, std::string const& what);

    /// The key of a client account that callers show from now on.
    void set_key(std::string it)
    {
        m_key = std::move(it);
    }

    /// From now on the minion says that it belongs to this service.
    void set_service(std::size_t instance, std::string const& service);

    /// From now on the minion says that it is of this kind.
    void set_kind(std::size_t instance, std::string const& kind);

    /// Cuts the minion off from all processes, or ends that; it runs on.
    void cut(std::size_t instance, bool off);

    /// A minion crashes and is back at once as another one, which runs nothing.
    void crash(std::size_t instance);

    void signal(std::size_t process, int number);

    /// Starts the process again once it has ended.
    bool start_again(std::size_t process);

    /// Seconds since the start of the run.
    [[nodiscard]] double now() const;

    /// The tasks of the job that run now, on all instances.
    [[nodiscard]] std::size_t running(std::string const& job) const;

    /// How often a task of the step has begun; the step is named as ID.K.STEP.
    [[nodiscard]] std::size_t begun(std::string const& step) const;

    /// How many of them ended `done`.
    [[nodiscard]] std::size_t done(std::string const& step) const;

    /// How many processes have ended that nobody ended.
    [[nodiscard]] std::size_t ended_by_themselves();

    [[nodiscard]] std::vector<
        std::unique_ptr<platform_test::instance_stand_in>>&
    instances() noexcept
    {
        return m_instances;
    }

    [[nodiscard]] platform_test::store_stand_in& store() noexcept
    {
        return *m_store;
    }

private:
    [[nodiscard]] std::string entry(std::size_t instance) const;
    void write_settings(std::size_t n) const;
    void start(std::size_t n);
    [[nodiscard]] std::size_t port_of(std::size_t process) const;
    [[nodiscard]] std::optional<network::http_response>
    ask(std::size_t port,
        network::http_request it,
        std::chrono::milliseconds patience);

    run_options m_options;
    boost::asio::io_context m_loop;
    clock::time_point m_began{clock::now()};
    std::ofstream m_record;
    std::filesystem::path m_folder;
    std::int64_t m_longest_lease_ms;
    std::size_t m_first_port{0};
    std::size_t m_store_port{0};
    int m_version{0};
    int m_crashes{0};
    std::string m_key;
    std::unique_ptr<platform_test::store_stand_in> m_store;
    std::vector<std::unique_ptr<platform_test::instance_stand_in>> m_instances;
    /// What lies between the processes and each instance.
    std::vector<std::unique_ptr<platform_test::fault_link>> m_links;
    std::vector<network::socket_address> m_reached_at;
    std::unique_ptr<platform_test::heartbeats> m_heartbeats;
    std::vector<std::unique_ptr<platform_test::process>> m_processes;
    std::vector<bool> m_signalled;
    /// By instance; empty: as the stand-in says.
    std::map<std::size_t, std::string> m_services;
    std::map<std::size_t, std::string> m_kinds;
    std::map<std::string, std::size_t> m_begun;
    std::map<std::string, std::size_t> m_done;
    network::http_client m_client{m_loop, {}};
};

} // namespace berylhill::review
