#pragma once

#include <entry/group_outbox.hpp>
#include <entry/messages.hpp>
#include <entry/placed_attempts.hpp>
#include <jobs/job_table.hpp>
#include <placement/job_queue.hpp>

#include <caf/event_based_actor.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace berylhill::entry
{

struct entry_node;

/// Owns one shard of jobs under one epoch: takes jobs, decides where their
/// tasks go, and keeps their lives in the platform's log.
///
/// It begins in three steps: it reads the shard's stream; it writes that it
/// has opened the shard, which makes every later record of a former owner
/// void; and it asks each rack's owner which tasks run. New jobs are taken
/// after the second step, jobs of former owners go on after the third.
class job_shard_actor : public caf::event_based_actor
{
public:
    job_shard_actor(caf::actor_config& config,
                    entry_node& self,
                    std::string unit,
                    std::int64_t epoch);
    ~job_shard_actor() override;

    caf::behavior make_behavior() override;

private:
    using append_done = std::function<void(base::outcome<stream::position>)>;

    using open_atom = caf::atom_constant<caf::atom("open")>;

    enum class phase : std::uint8_t
    {
        reading,
        opening,
        collecting,
        complete,
    };

    /// Somebody who waits for a job's end.
    struct waiter
    {
        std::string job;
        base::instant until{};
        reply_promise<Json::Value> answer;
    };

    // Taking the shard over (job_shard_recovery.cpp).
    void start_reading();
    void take_page(stream::reader_page const& page);
    void open();
    void opened();
    void ask_inventories();
    void ask_inventory(std::string const& group);
    void take_inventory(inventory_answered const& it);
    void restore_all();
    void restore(std::string const& job,
                 jobs::job_entry const& entry,
                 base::instant now);
    [[nodiscard]] bool may_have_run(jobs::job_entry const& entry) const;
    [[nodiscard]] bool is_counted(model::attempt_id const& attempt) const;
    void reconcile(std::string const& group, group_inventory const& it);

    // Requests (job_shard_requests.cpp).
    void submit(job_submitted const& it);
    void accept(job_submitted const& it,
                jobs::job_accepted const& record,
                base::outcome<stream::position> const& written);
    void show(job_shown const& it);
    void cancel(job_cancelled const& it);
    void list(jobs_listed const& it);
    [[nodiscard]] Json::Value job_json(std::string const& job) const;
    void wake_waiters(base::instant now);

    // Decisions and what follows from them (job_shard_actor.cpp).
    void tick();
    void take_contracts();
    void take_digests(base::instant now);
    void decide(base::instant now);
    void run(placement::queue_actions const& todo);
    void send_hold(placement::hold_order const& it);
    [[nodiscard]] std::int64_t epoch_of_group(std::string const& group) const;
    void end_job(placement::job_outcome const& it);
    void flush();
    void flush(std::string const& group, group_outbox& outbox);
    void take_answers(orders_answered const& it);
    [[nodiscard]] bool has_workers(std::string const& group) const;
    void take_no_answer(group_orders const& orders, base::failure const& why);

    // Ends of attempts and the log (job_shard_log.cpp).
    void take_ends(ends_reported const& it);
    void take_success(placement::attempt_end const& end,
                      std::function<void(bool)> const& settle);
    void take_late_success(placement::attempt_end const& end,
                           std::function<void(bool)> const& settle);
    void end_attempt(placement::attempt_end const& end);
    void finish_if_done(model::task_id const& it);
    [[nodiscard]] bool is_done(model::task_id const& it) const;
    void append(jobs::record const& record, append_done then);
    void append_ended(shard_append_ended const& it);
    void keep_records(base::instant now);
    void age_out();

    [[nodiscard]] bool acting() const;
    [[nodiscard]] base::failure not_ready() const;

    entry_node& m_node;
    std::string m_unit;
    std::string m_stream;
    std::int64_t m_epoch;
    phase m_phase{phase::reading};
    std::shared_ptr<std::atomic<bool>> m_stop_reading{
        std::make_shared<std::atomic<bool>>(false)};
    jobs::job_table m_book;
    std::unique_ptr<placement::job_queue> m_queue;
    std::shared_ptr<void const> m_contracts_seen;
    std::map<std::string, group_outbox> m_outboxes;
    placed_attempts m_placed;
    std::map<std::string, std::int64_t> m_group_epochs;
    std::map<std::string, group_inventory> m_inventories;
    std::set<std::string> m_asked;
    /// When this owner saw a job's first task start, for people.
    std::map<std::string, std::int64_t> m_started_at_us;
    std::vector<waiter> m_waiters;
    std::set<std::pair<std::string, std::string>> m_keys_pending;
    std::uint64_t m_last_ticket{0};
    std::map<std::uint64_t, append_done> m_appends;
    std::map<std::string, std::int32_t> m_pending_of_job;
    /// Outcomes that the log has not taken yet.
    std::vector<placement::job_outcome> m_unwritten;
    base::instant m_write_again_at{};
    base::instant m_keep_at{};
    base::instant m_age_at{};
};

} // namespace berylhill::entry
