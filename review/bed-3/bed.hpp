#pragma once

#include "../../tests/platform_adapter/stand_ins/fault_link.hpp"
#include "../../tests/platform_adapter/stand_ins/heartbeats.hpp"
#include "../../tests/platform_adapter/stand_ins/instance_stand_in.hpp"
#include "../../tests/platform_adapter/stand_ins/process.hpp"
#include "../../tests/platform_adapter/stand_ins/store_stand_in.hpp"
#include "../../tests/support/run_until.hpp"
#include <network/http_client.hpp>

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <memory>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

namespace berylhill::review
{

/// How a case ended; the exit status of its script.
enum class verdict : std::uint8_t
{
    held = 0,
    broken = 1,
    could_not_run = 2,
};

/// Thrown where a case cannot run.
class not_runnable final : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// One step of a job as a client hands it in.
struct step_to_submit
{
    std::int64_t estimate_ms{1'000};
    /// The number of the step that has to be done before; -1: none.
    int after{-1};
    std::size_t count{1};
    /// In thousandths of a core.
    std::int64_t cpu{1'000};
};

/// A small deployment on loopback: three processes of the program, a store and
/// instances, with a record of all that is seen. One thread; the case runs the
/// loop by the functions that wait.
class bed
{
public:
    static constexpr std::size_t processes = 3;

    /// `folder` is that of the case. `TROUBLE=0` asks for a run without the
    /// disruption.
    bed(std::filesystem::path const& folder,
        std::size_t instances,
        std::chrono::milliseconds work);
    bed(bed const&) = delete;
    bed& operator=(bed const&) = delete;
    ~bed();

    /// Whether the disruption is played.
    [[nodiscard]] bool trouble() const noexcept
    {
        return m_trouble;
    }

    /// Writes a line of the record.
    void note(std::string const& line);

    void wait(std::chrono::milliseconds time);

    template <class Done>
    bool wait_until(Done done, std::chrono::milliseconds limit)
    {
        return test_support::run_until(loop, done, limit);
    }

    /// Writes the next configuration, with these queues of host `h` and so many
    /// others that it has `bytes` at least.
    void configure(std::vector<std::string> const& queues,
                   std::size_t bytes = 0);

    /// As above, with all queues sent to this service.
    void configure(std::vector<std::string> const& queues,
                   std::string const& service);

    /// Tells a process of a machine of this size. Precondition: it has not been
    /// started. The link carries the answers of the store.
    void set_machine(std::size_t process, double cores, double link_mbps);

    /// Starts the processes and waits until all are ready and the instances
    /// have carried out a first job.
    void begin();

    void start_process(std::size_t n);
    void kill_process(std::size_t n);

    /// Asks it to stop, and waits until it has ended.
    void stop_process(std::size_t n);

    /// The process whose claim the store holds.
    [[nodiscard]] std::size_t owner() const;

    /// Sends a client's request to a process; 0: no answer.
    unsigned call(std::size_t process,
                  network::http_method method,
                  std::string const& path,
                  std::string const& body = {});

    /// Hands a job in without waiting for the answer.
    void submit_beside(std::size_t process,
                       std::string const& queue,
                       std::string const& id,
                       std::vector<step_to_submit> const& steps);

    /// Hands a job in; the status of the answer.
    unsigned submit(std::size_t process,
                    std::string const& queue,
                    std::string const& id,
                    std::vector<step_to_submit> const& steps);

    /// The state of a job; empty without an answer that tells it.
    std::string
    state(std::size_t process, std::string const& queue, std::string const& id);

    /// What the last call was answered.
    [[nodiscard]] std::string const& last_body() const noexcept
    {
        return m_last_body;
    }

    /// Whether a run of the task has begun, and whether one has ended `done`.
    [[nodiscard]] bool begun(std::string const& task) const;
    [[nodiscard]] bool done(std::string const& task) const;

    /// The tasks that began again after an end `done` had been acknowledged.
    [[nodiscard]] std::set<std::string> const& started_again() const noexcept
    {
        return m_started_again;
    }

    /// Whether any instance runs anything.
    [[nodiscard]] bool anything_runs() const;

    /// A port that nothing else uses.
    [[nodiscard]] std::uint16_t spare_port() noexcept
    {
        return m_next_port++;
    }

    /// Leads the entry of the instance to another address from now on.
    void announce_at(std::size_t instance, std::uint16_t port)
    {
        m_announced_ports[instance] = port;
    }

    /// Writes the entry of the instance now.
    void announce(std::size_t instance);

    /// Where the instance itself listens.
    [[nodiscard]] std::uint16_t port_of_instance(std::size_t n) const
    {
        return m_instance_ports[n];
    }

    boost::asio::io_context loop;
    std::unique_ptr<platform_test::store_stand_in> store;
    std::vector<std::unique_ptr<platform_test::instance_stand_in>> instances;
    /// Between each process and the store.
    std::vector<std::unique_ptr<platform_test::fault_link>> links;

private:
    struct machine
    {
        double cores{0.25};
        double link_mbps{1'000};
    };

    struct seen_run
    {
        std::string task;
        std::string instance;
        bool ended{false};
        std::string how;
    };

    void write_configuration(std::string const& text,
                             std::vector<std::string> const& queues,
                             std::string const& rest);
    void add_instance(std::size_t n, std::chrono::milliseconds work);
    void write_settings(std::size_t n) const;
    [[nodiscard]] std::uint16_t port_of(std::size_t process,
                                        std::size_t which) const;

    std::filesystem::path m_folder;
    std::ofstream m_record;
    std::chrono::steady_clock::time_point m_began;
    bool m_trouble;
    std::uint16_t m_next_port{0};
    std::uint16_t m_first_process_port{0};
    std::uint16_t m_store_port{0};
    std::vector<std::uint16_t> m_link_ports;
    std::vector<std::uint16_t> m_instance_ports;
    std::vector<std::uint16_t> m_announced_ports;
    std::vector<machine> m_machines{processes};
    int m_version{0};
    std::string m_last_body;
    std::vector<seen_run> m_runs;
    std::set<std::string> m_acknowledged;
    std::set<std::string> m_started_again;
    std::unique_ptr<network::http_client> m_client;
    std::unique_ptr<platform_test::heartbeats> m_heartbeats;
    std::vector<std::unique_ptr<platform_test::process>> m_processes;
};

/// The cases. Each plays one on a bed of its own.
verdict entry_of_another_writer(std::filesystem::path const& folder);
verdict queue_unknown_to_owner(std::filesystem::path const& folder);
verdict queue_moved_and_removed(std::filesystem::path const& folder);
verdict end_of_later_life(std::filesystem::path const& folder);

} // namespace berylhill::review
