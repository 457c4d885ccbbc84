#pragma once

#include <network/http_client.hpp>
#include <soak/cell.hpp>
#include <soak/ledger.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <random>
#include <string>

namespace berylhill::soak
{

/// A caller that hands in a job, asks for its state until it has ended, and
/// goes on with the next. It keeps its connections open as long as the other
/// side does, and sends a request again where it got no clear answer. A hasty
/// one cancels a job whose submission has not been answered. Lives on the event
/// loop.
class client
{
public:
    /// All outlive it.
    client(boost::asio::io_context& loop,
           cell const& at,
           ledger& seen,
           std::uint64_t seed);
    client(client const&) = delete;
    client& operator=(client const&) = delete;
    ~client();

    void start();

    /// Hands in no further job.
    void finish()
    {
        m_finishing = true;
    }

    [[nodiscard]] bool idle() const noexcept
    {
        return m_idle;
    }

    /// The names of a job's tasks after `JOB.`, step by step. `first_tasks` is
    /// how many the first step has.
    [[nodiscard]] static std::vector<std::vector<std::string>>
    task_names(std::size_t first_tasks);

private:
    using handler = std::function<void(network::call_result const&)>;

    void next_job();
    void submit();
    void submitted(network::call_result const& it);
    void look();
    void looked(network::call_result const& it);
    void begin_cancel();
    void cancel();
    void cancelled(network::call_result const& it);
    void leave_cancelled();
    void call(network::http_method method, std::string body, handler done);
    void later(std::chrono::milliseconds pause, void (client::*what)());
    [[nodiscard]] std::uint64_t draw(std::uint64_t below);

    cell const& m_cell;
    ledger& m_seen;
    std::mt19937_64 m_random;
    network::http_client m_client;
    boost::asio::steady_timer m_timer;
    std::string m_job;
    std::size_t m_account;
    /// Where the last call went.
    std::size_t m_process{0};
    int m_refusals{0};
    bool m_maybe_taken{false};
    bool m_accepted{false};
    bool m_cancels{false};
    /// Cancels without waiting for the submission, and whether twice.
    bool m_hasty{false};
    bool m_cancels_again{false};
    bool m_under_way{false};
    bool m_cancel_begun{false};
    bool m_cancelled{false};
    bool m_finishing{false};
    bool m_idle{false};
};

} // namespace berylhill::soak
