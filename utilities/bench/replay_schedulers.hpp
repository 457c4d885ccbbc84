#pragma once

#include "replay.hpp"

#include <placement/group_ledger.hpp>
#include <placement/job_queue.hpp>

#include <deque>
#include <memory>
#include <set>
#include <vector>

namespace berylhill::bench
{

enum class baseline : std::uint8_t
{
    first_fit, ///< Each waiting job in turn, on the first worker with room.
    best_fit,  ///< The same, on the worker with the least room left.
    fifo,      ///< First fit, but nobody passes the head of the queue.
};

/// The usual simple ways, on declared sizes.
class baseline_scheduler final : public replay_scheduler
{
public:
    baseline_scheduler(replay_input const& input, baseline way);

    void submit(std::int32_t job, double now_s) override;
    std::vector<replay_start> decide(double now_s) override;
    void
    ended(replay_task const& it, model::task_end end, double now_s) override;
    [[nodiscard]] bool queue_empty() const override
    {
        return m_queue.empty();
    }

private:
    bool place(std::int32_t job, std::vector<replay_start>& starts);
    [[nodiscard]] std::int32_t find(model::resources const& need) const;

    replay_input const& m_input;
    baseline m_way;
    std::vector<model::resources> m_free;
    std::deque<std::int32_t> m_queue;
};

/// The product's own decision code.
class own_scheduler final : public replay_scheduler
{
public:
    explicit own_scheduler(replay_input const& input);

    void submit(std::int32_t job, double now_s) override;
    std::vector<replay_start> decide(double now_s) override;
    void
    ended(replay_task const& it, model::task_end end, double now_s) override;
    void report(std::int32_t worker,
                std::vector<replay_task*> tasks,
                double now_s) override;
    [[nodiscard]] bool queue_empty() const override
    {
        return m_queue.waiting_tasks() == 0;
    }

private:
    void carry_out(placement::queue_actions actions, base::instant now);
    void carry_out_hold(placement::hold_order const& order,
                        placement::queue_actions& next,
                        base::instant now);
    void start(std::string const& group,
               model::attempt_id const& attempt,
               placement::queue_actions& next,
               base::instant now);
    [[nodiscard]] placement::group_ledger& ledger_of(std::int32_t worker);

    replay_input const& m_input;
    std::map<std::string, placement::group_ledger> m_ledgers;
    placement::job_queue m_queue;
    std::vector<replay_start> m_starts;
    std::set<model::attempt_id> m_checkpoints;
    std::set<model::attempt_id> m_stops;
};

} // namespace berylhill::bench
