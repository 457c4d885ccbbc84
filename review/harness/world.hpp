#pragma once

#include <harness/bounded_store.hpp>
#include <network/http_client.hpp>
#include <stand_ins/fault_link.hpp>
#include <stand_ins/instance_stand_in.hpp>
#include <stand_ins/process.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstddef>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace berylhill::review
{

/// Exit statuses of a script.
inline constexpr int rule_held = 0;
inline constexpr int rule_broken = 1;
inline constexpr int could_not_run = 2;

/// What a script is called with. A value.
struct script_options
{
    std::string binary;
    /// Where `record.txt` is written.
    std::filesystem::path folder;
    bool trouble{true};
};

/// Reads the options from the arguments `BINARY FOLDER` and the variable
/// TROUBLE. Throws without the arguments.
[[nodiscard]] script_options options_from(int count, char** arguments);

/// Instances of one service, each with 32 cores and 8,000 MB. A value.
struct pool
{
    std::string service;
    std::size_t instances{8};
    /// How long each task takes.
    std::chrono::milliseconds work{3'000};
    /// Whether each start and end is recorded.
    bool record_tasks{true};
    /// Whether they tell when they were started (`born`).
    bool tell_birth{false};
    /// The labels: the kind of the instances, and their rack.
    std::string kind{"k"};
    std::string rack{"r"};
    /// Whether they are reached through a proxy, so that they can crash.
    bool can_crash{false};
};

/// The size of a small deployment. A value.
struct world_size
{
    std::size_t processes{3};
    std::vector<pool> pools;
};

/// A store, instances, and processes of `berylhill cell`, all on loopback
/// addresses, and a client. All but the processes run on the loop of this
/// object. Not thread-safe.
class world
{
public:
    world(script_options const& how, world_size const& size);
    world(world const&) = delete;
    world& operator=(world const&) = delete;
    ~world();

    /// Writes a line to the record, with the time since the start.
    void record(std::string const& line);

    /// Serves the stand-ins for this long.
    void run_for(std::chrono::milliseconds limit);

    /// Serves the stand-ins until `holds`; returns whether it did in time.
    bool run_until(std::function<bool()> const& holds,
                   std::chrono::milliseconds limit);

    /// Sends a request of a client to a process and records it with its
    /// answer. Returns the status; 0: no answer.
    unsigned call(std::size_t process,
                  network::http_method method,
                  std::string const& target,
                  std::string const& body = {});

    /// The body of the last answer.
    [[nodiscard]] std::string const& answer() const noexcept
    {
        return m_answer;
    }

    /// Whether all processes report themselves as ready.
    bool all_ready();

    /// The process that the newest claim in the store names.
    [[nodiscard]] std::size_t owner() const;

    void start(std::size_t process);
    void signal(std::size_t process, int number);
    [[nodiscard]] bool ended(std::size_t process);

    /// Writes a configuration with these queues, as the operator does. Each is
    /// the name of a path and of a service.
    using queue = std::pair<std::string, std::string>;
    void configure(std::vector<queue> const& queues);

    /// The bytes of the newest record of the job's state in the store.
    [[nodiscard]] std::size_t state_bytes(std::string const& job) const;

    /// How many appends the store has rejected because of their size.
    [[nodiscard]] std::size_t rejected_appends() const noexcept
    {
        return m_rejected;
    }

    /// The instance where a task of the job runs, if any does.
    [[nodiscard]] std::optional<std::size_t>
    place_of(std::string const& job) const;

    /// Ends an instance and all that runs there: its connections are reset, and
    /// new ones are closed at once. Precondition: its pool can crash.
    void crash(std::size_t instance);

    /// Ends an instance for good with the power of its machine: connections go
    /// silent. Precondition: its pool can crash.
    void lose(std::size_t instance);

    /// Starts a crashed instance again, under its id if it tells its birth.
    void start_again(std::size_t instance);

    /// How many tasks of the job run now.
    [[nodiscard]] std::size_t running(std::string const& job) const;

    /// How many tasks of the job's step have ended `done` so far.
    [[nodiscard]] std::size_t done(std::string const& job, int step) const;

    /// How many tasks of the job have ended `done` so far.
    [[nodiscard]] std::size_t done(std::string const& job) const;

    /// How many starts of tasks of the job's step there were so far.
    [[nodiscard]] std::size_t starts(std::string const& job, int step) const;

private:
    struct member
    {
        std::string name;
        std::size_t first_port{0};
        std::unique_ptr<platform_test::process> process;
    };

    void write_settings(member const& it) const;
    struct worker
    {
        std::size_t pool{0};
        std::unique_ptr<platform_test::instance_stand_in> instance;
        /// Null where the instance is reached without a proxy.
        std::unique_ptr<platform_test::fault_link> link;
        network::socket_address reached_at;
        /// How many heartbeats it has missed; empty while it is up.
        std::optional<int> missed;
    };

    void add_instance(std::size_t pool, std::size_t port, std::size_t proxy);
    void end_instance(std::size_t number, platform_test::link_state link);
    [[nodiscard]] std::string entry_of(worker const& it) const;
    void started(std::size_t number, std::string const& task);
    void ended(std::size_t number, std::string const& task, std::string const&);
    void every_heartbeat();
    void append_rejected(std::size_t largest_record, std::size_t all);
    [[nodiscard]] unsigned send(network::socket_address const& to,
                                network::http_request request);

    script_options m_how;
    world_size m_size;
    std::filesystem::path m_scratch;
    std::ofstream m_record;
    std::chrono::steady_clock::time_point m_began;
    boost::asio::io_context m_loop;
    std::size_t m_store_port{0};
    std::unique_ptr<bounded_store> m_store;
    std::size_t m_rejected{0};
    std::vector<worker> m_workers;
    boost::asio::steady_timer m_heartbeat;
    network::http_client m_client;
    std::vector<member> m_members;
    int m_version{0};
    std::string m_answer;
    std::vector<std::string> m_starts;
    std::vector<std::string> m_done;
};

} // namespace berylhill::review
