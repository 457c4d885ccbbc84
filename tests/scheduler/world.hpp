#pragma once

#include "trace_log.hpp"
#include "world_faults.hpp"

#include <cell/batch_waiters.hpp>
#include <cell/write_times.hpp>
#include <scheduler/instance_life.hpp>
#include <scheduler/scheduler.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace berylhill::scheduler_test
{

/// The caps that the operator switches between.
inline constexpr std::int64_t largest_cap_millis = 7'000;
inline constexpr std::int64_t smallest_cap_millis = 5'000;

/// The full capacity of an instance.
inline constexpr workload::resources whole_instance{8'000, 8'000, 0};

/// What an instance serves and which label it has. A value.
struct fake_place
{
    std::string service{"svc"};
    std::string kind{"kind"};
    /// Each incarnation may be of another kind.
    bool any_kind{false};

    friend bool operator==(fake_place const&, fake_place const&) = default;
};

/// Simulates a cell on a virtual clock: instances that behave as the platform's
/// documentation says, a log with conditional appends, successive owners,
/// former owners that continue for a while, and a network that loses, delays,
/// duplicates and reorders messages. Checks the invariants while it runs.
class world
{
public:
    world(std::uint64_t seed, fault_rates rough, planted fault);

    /// Runs with failures for `trouble`, then without until everything has
    /// ended or `calm` has passed. Returns the violations; empty if there were
    /// none.
    [[nodiscard]] std::vector<std::string> run(base::duration trouble,
                                               base::duration calm);

    [[nodiscard]] std::uint64_t starts() const noexcept
    {
        return m_starts;
    }

    [[nodiscard]] std::uint64_t takeovers() const noexcept
    {
        return m_takeovers;
    }

    /// Number of owners that were cut off together with instances.
    [[nodiscard]] std::uint64_t islands() const noexcept
    {
        return m_islands;
    }

    [[nodiscard]] std::uint64_t rebirths() const noexcept
    {
        return m_rebirths;
    }

    /// Number of attempts that began although another order of theirs had been
    /// rejected.
    [[nodiscard]] std::uint64_t begun_after_rejection() const noexcept
    {
        return m_begun_after_rejection;
    }

private:
    /// The delays that a spell of late orders adds to one order.
    struct order_delay
    {
        base::duration request{0};
        base::duration answer{0};
        /// The answer would come too late or never.
        bool unanswered{false};
    };

    struct running_task
    {
        base::instant present_at{};
        bool at_work{false};
    };

    struct fake_end
    {
        scheduler::ended_attempt_report row;
        base::instant at{};
        /// The instance's `lapses` at that time: an end counts as acknowledged
        /// only if the lease has not expired since.
        std::uint64_t lapses{0};
    };

    /// A record of the endpoint list's log.
    struct list_record
    {
        std::string id;
        bool listed{false};
        scheduler::instance_info info;
    };

    /// One incarnation of an instance.
    struct fake_instance
    {
        /// The name of its life, which contains its birth only with
        /// `fault_rates::reborn`.
        std::string id;
        std::string address;
        fake_place place;
        workload::resources capacity;
        /// Former capacities, and the time until which each applies.
        std::vector<std::pair<base::instant, workload::resources>> larger;
        bool up{true};
        bool cut{false};
        /// When it announced that it leaves, and the earliest time at which it
        /// does.
        std::optional<base::instant> drains_since;
        /// When the store accepted that announcement.
        std::optional<base::instant> drain_stored_at;
        base::instant leaves_at{};
        std::uint64_t token{0};
        /// Stands for all connections to this life.
        std::uint64_t connection{0};
        /// When a request raised the token to its present value.
        base::instant fenced_at{};
        double clock_rate{1};
        base::instant born{};
        std::int64_t first_reading{5'000};
        std::int64_t until_ms{0};
        std::map<scheduler::attempt_name, running_task> running;
        std::vector<fake_end> ended;
        std::uint64_t next_end{1};
        std::map<workload::task_name, std::uint32_t> highest;
        /// How often its lease has expired.
        std::uint64_t lapses{0};
        /// The share of its requests that it rejects, and until when.
        double reject_share{0};
        base::instant rejects_until{};
    };

    struct owner
    {
        std::uint64_t token{0};
        std::uint64_t next{0};
        std::unique_ptr<scheduler::scheduler> decisions;
        bool alive{true};
        bool appending{false};
        /// The records of the batch that are appended when those before them
        /// are stored.
        std::vector<scheduler::record> rest_of_batch;
        /// The jobs of the batch whose records were rejected.
        std::vector<scheduler::rejected_job> rejected;
        /// An attempt to append the batch had no answer.
        bool in_doubt{false};
        /// The first record of the endpoint list's log that it has not read.
        std::size_t next_entry{0};
        cell::write_times entry_times;
        std::map<std::string, base::instant> hold_after;
        base::instant frozen_until{};
        /// Since when its batch has been waiting for the store.
        std::optional<base::instant> stuck_since;
        cell::batch_waiters clients;
        /// Numbers of the start orders whose answers are awaited.
        std::map<scheduler::attempt_name, std::set<std::uint32_t>> awaited;
    };

    /// An append of which at least one record was stored.
    struct stored_append
    {
        std::uint64_t writer{0};
        std::vector<scheduler::record> sent;
        std::vector<scheduler::record> rejected;
    };

    using owner_pointer = std::shared_ptr<owner>;
    using owner_handler = std::function<void(owner&)>;

    void set_store_up(bool it);
    void after(base::duration pause, std::function<void()> what);
    [[nodiscard]] bool chance(double p);
    [[nodiscard]] static bool chance(std::mt19937_64& of, double p);
    [[nodiscard]] std::int64_t between(std::int64_t a, std::int64_t b);
    [[nodiscard]] base::duration hop();
    void broken(std::string what);

    // world_platform.cpp
    void add_instance(std::string address, fake_place place);
    void start_instance(std::unique_ptr<fake_instance> made,
                        base::duration listed_after);
    [[nodiscard]] scheduler::instance_info
    info_of(fake_instance const& it) const;
    void crash(fake_instance& it);
    void go(fake_instance& it);
    void drain(fake_instance& it);
    void cut(fake_instance& it);

    // world_lives.cpp
    [[nodiscard]] bool lives() const noexcept
    {
        return m_rough.reborn > 0;
    }
    [[nodiscard]] std::string new_life(std::string const& id) const;
    [[nodiscard]] fake_instance* living(std::string const& name);
    [[nodiscard]] fake_instance* reached_by(owner const& by,
                                            std::string const& name);
    [[nodiscard]] bool later_life_listed(fake_instance const& it) const;
    void forget_former_entries(fake_instance const& it);
    [[nodiscard]] bool not_yet_stopped(fake_instance const& at,
                                       owner const& by,
                                       scheduler::start_order const& it) const;
    void carry_out_again(owner_pointer const& by,
                         scheduler::start_order const& it,
                         std::string const& address);
    void start_again(fake_instance const& former,
                     std::string const& address,
                     fake_place const& place);

    // world_islands.cpp
    void shorten_leases();
    void lengthen(workload::step_spec& it);
    void cut_off_owners();
    [[nodiscard]] bool cut_off(owner const& it) const;
    [[nodiscard]] bool reaches(owner const& by, fake_instance const& at) const;

    // world_beats.cpp
    [[nodiscard]] bool beats() const noexcept
    {
        return m_rough.outage > 0;
    }
    void write_entry(fake_instance& it, bool listed);
    void announce_to_store(std::string const& id, bool listed);
    void beat_on(std::string const& id);
    void begin_store_outage();
    void read_entries(owner_pointer const& it);

    // world_crashes.cpp
    void note_crash(std::vector<scheduler::attempt_name> const& lost);
    void crash_soon(fake_instance& at, scheduler::attempt_name const& by);
    void resize(fake_instance& it);
    void set_capacity(fake_instance& it, workload::resources const& to);
    void check_room(fake_instance const& at, workload::resources const& used);
    void check_crashes(workload::task_name const& it);
    void check_failed(workload::job_id it,
                      std::vector<std::string>& into) const;

    // world_places.cpp
    [[nodiscard]] bool places() const noexcept
    {
        return m_rough.move_queue > 0;
    }
    [[nodiscard]] fake_place first_place(int number);
    [[nodiscard]] fake_place next_incarnation(fake_place it);
    void narrow(workload::job_spec& it);
    [[nodiscard]] workload::job_spec as_submitted(workload::job_spec it) const;
    void move_queue();
    void check_place(fake_instance const& at, scheduler::start_order const& it);
    void check_service_sent_to(scheduler::start_order const& it);

    // world_partitions.cpp
    [[nodiscard]] bool partitions() const noexcept
    {
        return m_rough.cut_batch > 0;
    }
    [[nodiscard]] std::int64_t wall_ms() const;
    void repeat(workload::job_spec& it);
    void damage_batch(std::vector<scheduler::record>& it);
    void cut_batch(owner& by, std::vector<scheduler::record>& records);
    void batch_cut_off();
    void check_records(std::vector<std::string>& into) const;
    void check_due(scheduler::attempt_name const& it);

    // world_rejected_records.cpp
    void reject_some_job();
    [[nodiscard]] bool rejects_records_of(workload::job_id it) const;
    [[nodiscard]] bool rejected_for_good(workload::job_id it) const;
    std::vector<scheduler::record>
    take_rejected(std::vector<scheduler::record>& records) const;
    void note_rejected(owner& by,
                       std::vector<scheduler::record> const& rejected) const;
    void batch_stored(owner& by);

    void announce(fake_instance const& it, bool listed);
    [[nodiscard]] std::int64_t clock_of(fake_instance const& it) const;
    void raise_token(fake_instance& at, std::uint64_t token) const;
    void extend_lease(fake_instance& at, std::int64_t until_ms) const;
    [[nodiscard]] fake_instance* at_address(std::string const& address);
    scheduler::start_answer begin(fake_instance& at,
                                  std::uint64_t token,
                                  scheduler::start_order const& it);
    void stop(fake_instance& at,
              std::uint64_t token,
              scheduler::attempt_name const& name);
    void end(fake_instance& at,
             scheduler::attempt_name const& name,
             scheduler::end_reason reason);
    void gang_begins(scheduler::attempt_name const& of);
    void gang_ends(scheduler::attempt_name const& of,
                   fake_instance const* by,
                   scheduler::end_reason reason);
    void list_end(fake_instance& at,
                  scheduler::attempt_name const& name,
                  scheduler::end_reason reason);
    void lapse_leases();
    [[nodiscard]] workload::step_spec const*
    spec_of(workload::step_name const& it) const;
    [[nodiscard]] std::uint32_t
    members_present(scheduler::attempt_name const& of) const;
    [[nodiscard]] base::duration work_of(workload::step_spec const& it);
    void finish_later(fake_instance& at, scheduler::attempt_name const& name);

    // world_checks.cpp
    void check_start(fake_instance const& at, scheduler::start_order const& it);
    void check_cap(workload::job_spec const& job,
                   workload::step_spec const& step);
    void check_sent(owner const& by, scheduler::start_order const& it);
    [[nodiscard]] std::uint32_t attempts_allowed(workload::job_id of) const;
    void note_acknowledged(scheduler::ended_attempt_report const& it,
                           std::uint64_t token);
    void note_seen(fake_instance& at, std::uint64_t seen, std::uint64_t token);
    void check_ends(std::vector<std::string>& into) const;
    void check_completed(workload::job_spec const& it,
                         std::vector<std::string>& into) const;
    [[nodiscard]] bool all_ended() const;
    void check_pending();

    // world_rejections.cpp
    void begin_rejections();
    void begin_late_spell();
    [[nodiscard]] bool rejects(fake_instance const& it);
    [[nodiscard]] std::optional<scheduler::start_answer>
    start_rejection(fake_instance const& at, workload::job_id of);
    [[nodiscard]] base::duration pause_after_report();
    [[nodiscard]] std::optional<base::duration> late_hold();
    [[nodiscard]] order_delay next_delay(base::duration timeout);
    void deliver(owner_pointer const& to, scheduler::start_reply it);
    void note_answer(scheduler::start_reply const& it);
    [[nodiscard]] scheduler::ended_attempt_report
    as_told(owner const& to,
            std::string const& by,
            scheduler::ended_attempt_report it) const;

    // world_owner.cpp
    void take_over();
    void pump(owner_pointer const& it);
    void every_tick(owner_pointer const& it);
    void append(owner_pointer const& it,
                std::vector<scheduler::record> const& records);
    void arrive(owner_pointer const& it,
                std::uint64_t at,
                std::vector<scheduler::record> const& records,
                bool answered);
    void send(owner_pointer const& by, scheduler::start_order const& it);
    void send(owner_pointer const& by, scheduler::stop_order const& it);
    void send(owner_pointer const& by, scheduler::advice_order const& it);
    void hold(owner_pointer const& by, std::string const& id);
    void fail_hold(owner_pointer const& by,
                   std::string const& id,
                   base::duration pause);
    void hold_late(owner_pointer const& by,
                   std::string const& address,
                   scheduler::hold_order const& order,
                   base::duration pause);
    void carry_out_hold(fake_instance& at,
                        owner_pointer const& by,
                        scheduler::hold_order const& order,
                        base::instant sent_at,
                        bool answer_lost);
    [[nodiscard]] scheduler::hold_report
    report_of(fake_instance const& at,
              owner const& by,
              scheduler::hold_order const& to,
              base::instant sent_at);
    void read_hold(fake_instance& at,
                   owner const& by,
                   scheduler::hold_order const& it);
    void fenced(owner_pointer const& by);
    void freeze(owner_pointer const& it);
    void submit_something();
    void submit_job(workload::job_spec const& it);
    void refuse_unsent(owner_pointer const& by);
    void tell(cell::batch_waiters::list const& whom);
    void note_refused(workload::job_id it);
    void cancel_something();
    void cancel(workload::job_id it);
    void run_tick();
    void change_cap();

    std::mt19937_64 m_random;
    /// Separate generators, so that a seed gives the same run with and without
    /// these failures.
    std::mt19937_64 m_drain_random;
    std::mt19937_64 m_freeze_random;
    std::mt19937_64 m_late_random;
    std::mt19937_64 m_twice_random;
    std::mt19937_64 m_cap_random;
    std::mt19937_64 m_crash_random;
    std::mt19937_64 m_resize_random;
    std::mt19937_64 m_reject_random;
    std::mt19937_64 m_spell_random;
    std::mt19937_64 m_hold_random;
    std::mt19937_64 m_beat_random;
    std::mt19937_64 m_place_random;
    std::mt19937_64 m_life_random;
    std::mt19937_64 m_part_random;
    std::mt19937_64 m_record_random;
    std::mt19937_64 m_island_random;
    fault_rates m_rough;
    planted m_fault;
    scheduler::policy m_rules;
    workload::cell_configuration m_configuration;
    /// By queue: the services of former configurations, and since when each no
    /// longer applies.
    std::map<std::string, std::map<std::string, base::instant>>
        m_former_services;
    base::instant m_now{};
    trace_log m_log;
    std::uint64_t m_sequence{0};
    std::map<std::pair<base::instant, std::uint64_t>, std::function<void()>>
        m_events;
    std::map<std::string, std::unique_ptr<fake_instance>> m_instances;
    std::set<std::string> m_listed;
    std::vector<list_record> m_entries;
    /// The cell's log: the newest record of each key, and the writer of each
    /// offset.
    std::map<std::string, std::string> m_newest;
    std::vector<std::uint64_t> m_writers;
    /// The jobs whose records the store rejects, and until when.
    std::map<workload::job_id, base::instant> m_rejected_until;
    /// What was appended, by its first offset.
    std::map<std::uint64_t, stored_append> m_stored_at;
    bool m_store_up{true};
    base::instant m_store_changed_at{};
    owner_pointer m_owner;
    std::vector<owner_pointer> m_owners;
    /// The addresses that only the owners up to this token reach, until then.
    std::set<std::string> m_island;
    std::uint64_t m_last_cut_off{0};
    base::instant m_island_until{};
    std::map<workload::job_id, workload::job_spec> m_submitted;
    std::set<workload::job_id> m_accepted;
    std::set<workload::job_id> m_cancelled;
    /// Jobs that were rejected to every client and so must never run.
    std::set<workload::job_id> m_refused;
    /// Jobs with a start on any instance.
    std::set<workload::job_id> m_begun;
    /// Tasks with an end `done` on any instance, and those with such an end
    /// acknowledged.
    std::set<workload::task_name> m_done;
    std::set<workload::task_name> m_done_seen;
    /// Tasks with an acknowledged end `done` and the runs with an acknowledged
    /// end `failed`, each with the lowest token that acknowledged it.
    std::map<workload::task_name, std::uint64_t> m_done_by;
    std::map<workload::task_name, std::map<std::uint32_t, std::uint64_t>>
        m_failed_by;
    std::map<workload::task_name, base::instant> m_last_start;
    std::map<workload::step_name, std::set<std::uint32_t>> m_failed_runs;
    /// Tasks that crash the instances that start them, and how many instances
    /// crashed under each task, of these or of others.
    std::set<workload::task_name> m_crashers;
    std::map<workload::task_name, std::uint32_t> m_crashes;
    std::map<workload::task_name, std::uint32_t> m_failures;
    /// The stop orders sent, by the life that was meant.
    std::set<std::pair<std::string, scheduler::attempt_name>> m_stops_sent;
    /// Attempts with a rejected order.
    std::set<scheduler::attempt_name> m_rejected;
    std::uint64_t m_begun_after_rejection{0};
    /// The share of orders that get no answer in the present spell, and until
    /// when.
    double m_spell_share{0};
    base::instant m_spell_until{};
    std::vector<std::string> m_broken;
    std::uint64_t m_next_job{1};
    std::uint64_t m_next_instance{1};
    std::uint64_t m_next_address{1};
    std::uint64_t m_starts{0};
    std::uint64_t m_takeovers{0};
    std::uint64_t m_rebirths{0};
    std::uint64_t m_islands{0};
    bool m_trouble{true};
};

} // namespace berylhill::scheduler_test
