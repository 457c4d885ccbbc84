#pragma once

#include <placement/group_ledger.hpp>
#include <placement/job_queue.hpp>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace berylhill::placement_test
{

/// Job queues connected to group ledgers in virtual time. Every order is
/// answered immediately, and workers run every start. A fake for unit tests.
class fake_cell
{
public:
    explicit fake_cell(std::size_t queues = 1);

    void add_worker(std::string const& group,
                    std::string const& worker,
                    model::resources const& capacity);
    void add_contract(model::contract const& it);

    /// Removes expired holds, sends digests to the queues, lets them decide and
    /// executes all orders.
    void step(std::int32_t max_holds = 1000);
    void advance(double seconds)
    {
        now += base::from_seconds(seconds);
    }
    /// Ends one running attempt.
    void end(model::attempt_id attempt, model::task_end result);
    /// Executes a queue's actions and those that follow from them.
    void execute(std::size_t queue, placement::queue_actions actions);
    /// Executes a queue's actions once and returns those that follow from them.
    placement::queue_actions deliver(std::size_t queue,
                                     placement::queue_actions const& actions);

    [[nodiscard]] placement::job_queue& queue(std::size_t n = 0)
    {
        return queues[n];
    }
    /// Whether the plans and peaks of every worker's tasks fit its capacity.
    [[nodiscard]] bool no_worker_is_overcommitted() const;

    base::instant now{base::from_seconds(1000)};
    std::map<std::string, placement::group_ledger> ledgers;
    std::vector<placement::job_queue> queues;
    /// Running attempts and the group of each.
    std::map<model::attempt_id, std::string> running;
    std::map<model::attempt_id, std::size_t> owner;
    /// The actual peak use of tasks by name; others use what is planned.
    std::map<std::string, model::resources> actual_peaks;
    std::map<model::attempt_id, model::resources> peaks;
    std::map<std::string, model::job_state> outcomes;
    std::vector<model::attempt_id> checkpoints;
    std::int64_t refusals{0};
    /// Called with each start order; may end the attempt.
    std::function<void(placement::start_order const&)> on_start;

private:
    void execute_hold(std::size_t queue,
                      placement::hold_order const& order,
                      placement::queue_actions& next);
    void start(std::size_t queue,
               std::string const& group,
               model::attempt_id const& attempt,
               placement::queue_actions& next);
};

[[nodiscard]] model::contract unlimited_contract(std::string const& name);

[[nodiscard]] model::job_request request_of(std::string const& contract,
                                            std::string const& name,
                                            model::resources const& declared);

} // namespace berylhill::placement_test
