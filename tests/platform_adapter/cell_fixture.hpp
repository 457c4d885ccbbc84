#pragma once

#include "stand_ins/heartbeats.hpp"
#include "stand_ins/instance_stand_in.hpp"
#include "stand_ins/ports.hpp"
#include "stand_ins/process.hpp"
#include "stand_ins/store_stand_in.hpp"

#include <network/http_client.hpp>
#include <settings/cell_settings.hpp>
#include <tests/support/run_until.hpp>

#include <filesystem>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace berylhill::platform_test
{

/// A cell of three real processes on loopback, with stand-ins for the store
/// and two instances. The test runs the loop.
class cell_fixture
{
public:
    static constexpr std::size_t processes = 3;

    /// The processes are told that their machines are like this.
    explicit cell_fixture(settings::cell_limit_settings const& machine = {});
    ~cell_fixture();

    /// Runs the loop until `done`, for `limit` at most; whether it was done.
    template <class Done>
    bool run_until(Done done,
                   std::chrono::milliseconds limit = std::chrono::seconds{30})
    {
        return test_support::run_until(loop, done, limit);
    }

    void start_process(std::size_t n);

    /// As above; the process finds the store at this port.
    void start_process(std::size_t n, std::uint16_t store_port);

    [[nodiscard]] std::uint16_t store_port() const;

    /// Processes that are started from now on have such machines.
    void set_machine(settings::cell_limit_settings const& it)
    {
        m_machine = it;
    }

    /// Kills it and waits until it has ended.
    void stop_process(std::size_t n);

    /// Where its output goes.
    [[nodiscard]] std::filesystem::path log_path(std::size_t n) const
    {
        return m_folder / ("cell-" + std::to_string(n) + ".log");
    }

    /// The status of a call to one of the processes; 0 without an answer.
    unsigned call(std::size_t process,
                  network::http_method method,
                  std::string const& path,
                  std::string const& body = {});

    /// The key of a client account that callers show from now on; empty: none.
    void set_key(std::string it)
    {
        m_key = std::move(it);
    }

    [[nodiscard]] std::string const& last_body() const noexcept
    {
        return m_last_body;
    }

    unsigned submit(std::size_t process, std::uint64_t id);

    /// Submits without waiting; `status` is set when the answer is there, to 0
    /// where there is none.
    void submit_beside(std::size_t process,
                       std::uint64_t id,
                       std::optional<unsigned>& status);

    /// Calls without waiting, and tells the process how long the caller waits;
    /// `status` as above.
    void call_beside(std::size_t process,
                     network::http_method method,
                     std::string const& path,
                     std::string const& body,
                     std::chrono::milliseconds patience,
                     std::optional<unsigned>& status);
    [[nodiscard]] bool completed(std::size_t process, std::uint64_t id);
    [[nodiscard]] bool ready(std::size_t process);
    /// Waits until all processes are ready; whether they are.
    [[nodiscard]] bool all_ready();

    /// An address that nothing of the cell listens at.
    [[nodiscard]] network::socket_address const& spare_address() const noexcept
    {
        return m_spare;
    }

    /// The same, one for each process, for a link of its own.
    [[nodiscard]] network::socket_address link_address(std::size_t n) const
    {
        return local(m_first_link + n);
    }

    /// Where the process listens for callers; the ports for probes, peers and
    /// metrics follow.
    [[nodiscard]] std::uint16_t callers_port(std::size_t process) const;

    /// The process that owns the work; nothing while none does.
    [[nodiscard]] std::optional<std::size_t> owner();

    boost::asio::io_context loop;
    std::unique_ptr<store_stand_in> store;
    std::vector<std::unique_ptr<instance_stand_in>> instances;
    std::vector<std::unique_ptr<process>> cells;
    /// How often each task began.
    std::map<std::string, int> started;

private:
    std::unique_ptr<heartbeats> m_heartbeats;
    network::socket_address m_spare;
    [[nodiscard]] network::http_request request(network::http_method method,
                                                std::string const& path,
                                                std::string const& body) const;
    [[nodiscard]] network::http_response ask(std::uint16_t port,
                                             network::http_request it);

    network::http_client m_client{loop, {}};
    settings::cell_limit_settings m_machine;
    std::uint16_t m_first_port{0};
    std::uint16_t m_first_link{0};
    std::filesystem::path m_folder;
    std::string m_last_body;
    std::string m_key;
};

} // namespace berylhill::platform_test
