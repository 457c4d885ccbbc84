#pragma once

#include <cell/advice_dispatcher.hpp>
#include <cell/batch_append.hpp>
#include <cell/batch_waiters.hpp>
#include <cell/documents.hpp>
#include <cell/hold_list.hpp>
#include <cell/instance_client.hpp>
#include <cell/job_call.hpp>
#include <cell/log_follower.hpp>
#include <cell/reliable_append.hpp>
#include <cell/round_throttle.hpp>
#include <cell/won_claim.hpp>
#include <scheduler/scheduler.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace berylhill::cell
{

/// The services that an owner uses; all must outlive it.
struct owner_parts
{
    boost::asio::io_context* loop{nullptr};
    base::clock const* clock{nullptr};
    keyed_log* cell{nullptr};
    keyed_log* instances{nullptr};
    instance_client* orders{nullptr};
    advice_dispatcher* advice{nullptr};
    documents const* reader{nullptr};
    scheduler::decision_log* log{nullptr};
    store_latency* latency{nullptr};
    append_limits limits{};
};

/// Runs the work of the cell while this process owns it, from its claim until
/// it loses or releases ownership: connects the scheduler's decisions with the
/// store and the instances. Lives on the event loop.
class cell_owner
{
public:
    /// Called at most once, when another owner has been detected.
    using ownership_lost_handler = std::function<void(char const* why)>;

    /// `records` are the newest record of each key before the claim.
    /// `list_times` is what former owners knew of the instances' log.
    cell_owner(owner_parts parts,
               scheduler::policy rules,
               workload::cell_configuration const& configuration,
               std::map<std::string, std::string> const& records,
               won_claim const& claim,
               write_times list_times,
               ownership_lost_handler on_ownership_lost);
    cell_owner(cell_owner const&) = delete;
    cell_owner& operator=(cell_owner const&) = delete;

    /// Answers all waiting callers.
    ~cell_owner();

    void set_configuration(workload::cell_configuration const& it);

    /// Rejects what `configuration`, the one in force in this process, does not
    /// allow, unless an equal call has taken effect. `done` is called once,
    /// from within this call or later.
    void call(job_call const& it,
              workload::cell_configuration const& configuration,
              job_answer_handler done);

    /// Releases ownership: makes no new decisions and calls `done` once the
    /// current append has ended, or after `limit`.
    void release(base::duration limit, std::function<void()> done);

    [[nodiscard]] std::uint64_t token() const noexcept
    {
        return m_token;
    }

    /// How long records have been waiting without any being stored.
    [[nodiscard]] base::duration store_stuck() const
    {
        return m_store_blocked_since
                   ? m_parts.clock->now() - *m_store_blocked_since
                   : base::duration{0};
    }

    /// The store has accepted nothing for longer than a slow append takes, so
    /// new work is refused.
    [[nodiscard]] bool store_blocked() const;

    /// The store answers but refuses appends of this process.
    [[nodiscard]] bool store_refuses() const noexcept
    {
        return m_batch_taken_back || m_append.refused();
    }

    /// What is known of the ages of the instances' entries.
    [[nodiscard]] write_times const& list_times() const noexcept
    {
        return m_instances.known_write_times();
    }

    /// How long ago this process certainly owned the work.
    [[nodiscard]] base::duration confirmed_ago() const
    {
        return m_parts.clock->now() - m_confirmed_at;
    }

    [[nodiscard]] scheduler::scheduler const& decisions() const noexcept
    {
        return m_decisions;
    }

private:
    struct unconfirmed_caller
    {
        job_answer_handler done;
        base::instant deadline;
    };

    void drop_advice_requests();
    [[nodiscard]] bool has_taken_effect(job_call const& it) const;
    void log_outdated(job_call const& it,
                      std::int64_t version,
                      job_answer_kind end) const;
    void carry_out(job_call const& it, job_answer_handler done);
    void submit(job_call const& it, job_answer_handler done);
    void cancel(job_call const& it, job_answer_handler done);
    void log_cancellation(workload::job_id it) const;
    void answer_unknown(job_call const& it, job_answer_handler done);
    void confirm();
    void confirm_answered(std::uint64_t from,
                          base::instant sent_at,
                          read_result const& it);
    void read_log_end(base::duration timeout, read_handler done);
    void log_end_read(std::uint64_t from,
                      base::instant sent_at,
                      std::uint64_t log_end);
    void confirmed(base::instant at);
    [[nodiscard]] bool surely_owns() const;
    void refuse_unconfirmed();
    void confirm_regularly();
    void report_unconfirmed();
    void note_turn();
    void resume();
    void send_orders();
    void wait_for_batch(job_call const& of,
                        job_answer_kind once_stored,
                        job_answer_handler done);
    void refuse_unsent();
    void take_back_batch();
    void log_refusal(workload::job_id it, char const* why) const;
    void answer_rejected(std::vector<scheduler::rejected_job> const& jobs);
    [[nodiscard]] bool lingers(base::instant now) const;
    void schedule_round();
    void run_round();
    void commit();
    void batch_ended(batch_outcome const& it);
    void stored();
    void send_orders(std::vector<scheduler::order> const& orders);
    void send(scheduler::start_order const& it);
    void send(scheduler::stop_order const& it);
    void send(scheduler::advice_order const& it);
    void send_due_holds();
    void send_hold(std::string const& id);
    [[nodiscard]] hold_list::standing
    hold_status_of(std::string const& id) const;
    void hold_answered(scheduler::hold_order const& to,
                       hold_result it,
                       base::instant sent_at);
    [[nodiscard]] std::uint64_t batch_with_ends(std::string const& id) const;
    [[nodiscard]] order_target target(std::string const& id) const;
    void instance_changed(std::string const& key,
                          std::string const& value,
                          std::optional<base::instant> written_after);
    void every_tick();
    static void answer_stored(batch_waiters::list const& whom);
    void expire_waiting();
    void ownership_lost(char const* why);

    /// Why a call is refused, in log lines.
    static constexpr char const* store_stuck_reason = "store_stuck";
    static constexpr char const* rejected_reason = "rejected";
    static constexpr char const* too_many_reason = "too_many_early";
    static constexpr char const* no_room_reason = "no_room";

    owner_parts m_parts;
    scheduler::scheduler m_decisions;
    std::uint64_t m_token;
    std::uint64_t m_next;
    ownership_lost_handler m_on_ownership_lost;
    batch_append m_append;
    log_follower m_instances;
    boost::asio::steady_timer m_tick;
    boost::asio::steady_timer m_round;
    round_throttle m_pace;
    std::shared_ptr<bool> m_alive{std::make_shared<bool>(true)};
    hold_list m_holds;
    std::uint64_t m_batches_taken{0};
    std::uint64_t m_batches_stored{0};
    /// When the open batch received its first record.
    std::optional<base::instant> m_open_since;
    /// Since when records have been waiting for the store; empty if none are.
    std::optional<base::instant> m_store_blocked_since;
    /// The latest time at which this process certainly owned the work.
    base::instant m_confirmed_at;
    bool m_confirming{false};
    /// When the ownership may next be confirmed without an occasion.
    base::instant m_next_confirmation{};
    /// The log has told that the ownership lease has ended.
    bool m_unconfirmed_reported{false};
    /// When this object last ran.
    base::instant m_last_turn{};
    /// When the process went on after a pause; empty once the store has
    /// confirmed since then that it owns the work, or does not tell.
    std::optional<base::instant> m_resumed_at;
    /// Callers who ask for a job that is not known; they are told so once the
    /// store has confirmed that this process still owns the work.
    std::vector<unconfirmed_caller> m_unconfirmed;
    /// A batch was taken back, and none has been stored since.
    bool m_batch_taken_back{false};
    /// No append is sent before this time.
    base::instant m_next_append{};
    batch_waiters m_waiting;
    std::function<void()> m_released;
    base::instant m_release_by{};
    bool m_scheduled{false};
    bool m_releasing{false};
    bool m_lost{false};
};

} // namespace berylhill::cell
