#pragma once

#include <placement/group_ledger.hpp>
#include <placement/job_queue.hpp>

#include <boost/random/mersenne_twister.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace berylhill::bench
{

struct cell_size
{
    std::int32_t workers{50};
    std::int32_t tasks{1'000};
    std::int32_t contracts{2};
};

/// A job queue and its group ledgers in memory, filled with running tasks, to
/// time single decisions.
class bench_cell
{
public:
    bench_cell(cell_size size, std::uint64_t seed);

    void submit_one();
    /// Ends one running task, so that there is room for another.
    void end_one();
    /// Decides on up to `most` tasks, holds and starts them. Returns how many
    /// were started.
    std::int32_t decide(std::int32_t most);
    /// Hands the digests of changed groups over, as gossip would.
    void gossip();
    /// Cancels a job that waits; the queue has to have one.
    void cancel(std::string const& job);

    [[nodiscard]] placement::job_queue& queue()
    {
        return m_queue;
    }
    [[nodiscard]] std::size_t running() const
    {
        return m_running.size();
    }
    [[nodiscard]] std::string const& last_job() const
    {
        return m_last_job;
    }

private:
    struct running_task
    {
        model::attempt_id attempt;
        std::int32_t ledger{0};
        model::resources planned;
    };

    std::int32_t start(placement::hold_order const& order);

    boost::random::mt19937_64 m_random;
    cell_size m_size;
    std::vector<placement::group_ledger> m_ledgers;
    std::map<std::string, std::int32_t> m_index;
    placement::job_queue m_queue;
    std::vector<running_task> m_running;
    std::set<std::int32_t> m_changed;
    std::string m_last_job;
    std::int64_t m_next{0};
    base::instant m_now{base::from_seconds(1000)};
};

} // namespace berylhill::bench
