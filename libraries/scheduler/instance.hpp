#pragma once

#include <scheduler/account_ledger.hpp>
#include <scheduler/attempt_count.hpp>
#include <scheduler/orders.hpp>
#include <scheduler/policy.hpp>
#include <scheduler/start_sends.hpp>
#include <workload/resources.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace berylhill::scheduler
{

/// An instance that runs tasks, as described by the platform's endpoint list. A
/// value.
struct instance_info
{
    /// The name of its life; see `instance_life`.
    std::string id;
    std::string service;
    /// `IP:port` of its control interface.
    std::string address;
    std::string zone;
    workload::resources capacity;
    /// Its kind and its rack, in this order.
    std::vector<std::string> labels;
    bool draining{false};
    /// The minimum time that a draining instance remains.
    std::optional<base::duration> min_stay;

    friend bool operator==(instance_info const&,
                           instance_info const&) = default;
};

/// State of an attempt as known by the owner.
enum class attempt_state : std::uint8_t
{
    /// The decision is being stored; no order has been sent.
    planned,
    /// An order has been sent and may be carried out at any time.
    sent,
    /// A former owner stored the decision; it is unknown whether the order was
    /// carried out.
    inherited,
    running,
};

/// A task's start on an instance. It uses resources there until it is certain
/// that it has ended.
struct attempt
{
    attempt_state state{attempt_state::planned};
    workload::resources need;
    /// False for an attempt found running whose job has finished and whose
    /// resource need is therefore unknown.
    bool need_known{true};
    /// The resources charged to the client account, and the account; empty if
    /// the job has none.
    workload::resources of_cap;
    std::string account;
    std::string ticket;
    bool stop_wanted{false};
    start_sends sends;
    /// Instances were lost while they ran earlier attempts of the task.
    bool suspect{false};
    std::uint32_t tries{0};
    /// When the next order is sent; empty if none is needed.
    std::optional<base::instant> next_try;
    /// From this time on no order of the attempt can take effect. A report that
    /// was requested later and does not contain the attempt shows that it no
    /// longer exists.
    std::optional<base::instant> settled_at;
    base::instant began_at{};
    std::string checkpoint;
    int percent{0};
    /// When `percent` last increased.
    base::instant progressed_at{};
    /// When the instance last reported it as running.
    base::instant seen_at{};

    /// For how long it is known to have run.
    [[nodiscard]] base::duration seen_work() const noexcept
    {
        return state == attempt_state::running
                   ? std::max(base::duration{0}, seen_at - began_at)
                   : base::duration{0};
    }
};

/// The owner's state for one instance, including the only accounting of its
/// free resources. Not thread-safe.
class instance
{
public:
    /// `lease_end` is the time by which all leases granted by former owners
    /// have certainly expired; `number` is unique among the instances of one
    /// table. The instance's attempts and their resources are also counted in
    /// `counts` and `ledger`, which must outlive the instance and may be null.
    instance(std::string id,
             base::instant lease_end,
             std::uint32_t number = 0,
             account_ledger* ledger = nullptr,
             attempt_count* counts = nullptr);

    /// Unique number of the instance, cheaper to compare than its id.
    [[nodiscard]] std::uint32_t number() const noexcept
    {
        return m_number;
    }

    [[nodiscard]] instance_info const& info() const noexcept
    {
        return m_info;
    }

    [[nodiscard]] bool listed() const noexcept
    {
        return m_listed;
    }

    /// Updates the instance from an entry of the platform's endpoint list that
    /// was not written before `written_after`; empty if it may be of any age.
    void list(instance_info it,
              std::optional<base::instant> written_after,
              base::instant now);

    /// Takes the address of the former life at which the instance answered,
    /// until its own entry is listed. Precondition: it was never listed.
    void assume_address(instance_info const& former);

    /// A former life of the instance was replaced; no task is placed here until
    /// then.
    void set_follows_former_life(base::instant paused_until)
    {
        m_follows_former_life = true;
        pause(paused_until);
    }

    /// Something is sent to the instance now.
    void note_asked(base::instant now)
    {
        m_asked_at = now;
    }

    /// A start order is sent to the instance now.
    void note_start_sent(base::instant now)
    {
        note_asked(now);
        m_start_sent_at = now;
    }

    /// A report that was requested then lists no attempts and no ends.
    void note_empty_report(base::instant requested_at)
    {
        m_empty_report_at = requested_at;
    }

    /// Whether any attempt was ever added.
    [[nodiscard]] bool had_attempts() const noexcept
    {
        return m_had_attempts;
    }

    /// Whether the instance may still report an attempt or an end: until a
    /// report lists none that was requested after the last start order can have
    /// been carried out. Former owners send none after `former_until`.
    [[nodiscard]] bool may_have_news(base::instant former_until,
                                     policy const& rules) const;

    /// When something was last sent to the instance; empty if nothing was.
    [[nodiscard]] std::optional<base::instant> asked_at() const noexcept
    {
        return m_asked_at;
    }

    /// The attempt has ended, but a start order of it may still be carried out,
    /// by a later life if not by this one.
    void add_open_order(attempt_name const& it,
                        base::instant now,
                        base::instant until)
    {
        std::erase_if(m_open_orders,
                      [&](auto const& each) { return each.second < now; });
        m_open_orders[it] = until;
    }

    /// Ended attempts with start orders that may still be carried out, and
    /// until when.
    [[nodiscard]] std::map<attempt_name, base::instant> const&
    open_orders() const noexcept
    {
        return m_open_orders;
    }

    /// Whether it is a later life of an instance whose entry has not been read
    /// yet, and answers or may run what was sent to the former life.
    [[nodiscard]] bool awaits_entry(base::instant now) const noexcept
    {
        return m_follows_former_life && !m_listed &&
               (m_reachable || now < m_lease_end);
    }

    /// Whether its reports matter. Another one is kept, if at all, for what was
    /// sent to it.
    [[nodiscard]] bool needs_reports(base::instant now) const noexcept
    {
        return m_listed || !m_attempts.empty() || awaits_entry(now);
    }

    /// How long ago the entry may have been written; empty if that is unknown.
    [[nodiscard]] std::optional<base::duration>
    entry_age(base::instant now) const;

    /// The earliest time at which a draining instance leaves; empty if it does
    /// not drain.
    [[nodiscard]] std::optional<base::instant> leaves_at() const noexcept
    {
        return m_leaves_at;
    }

    /// Marks the instance as no longer present in the platform's endpoint list.
    void unlist()
    {
        m_listed = false;
    }

    /// A report was received under the present owner's token, so nothing that a
    /// former owner sends takes effect any more.
    [[nodiscard]] bool fenced() const noexcept
    {
        return m_fenced;
    }

    [[nodiscard]] bool reachable() const noexcept
    {
        return m_reachable;
    }

    void set_unreachable()
    {
        m_reachable = false;
    }

    /// When its last report was read; empty if it has not reported.
    [[nodiscard]] std::optional<base::instant> reported_at() const noexcept
    {
        return m_reported_at;
    }

    /// Records a reading of the instance's clock.
    void heard(base::instant at, std::int64_t clock_ms);

    /// As `heard`, for a report: marks the instance as fenced and reachable.
    void reported(base::instant at, std::int64_t clock_ms);

    /// Grants a lease that starts at `from`. Returns its end in milliseconds on
    /// the instance's clock, or 0 while that clock is unknown or if it has
    /// ended before that clock began, and records the latest time at which the
    /// lease expires.
    [[nodiscard]] std::int64_t grant(base::instant from, policy const& rules);

    /// Records that a lease is in force that was granted by `now` at the
    /// latest.
    void assume_lease(base::instant now, policy const& rules);

    /// Records that a lease may be in force until then.
    void assume_lease_until(base::instant it)
    {
        m_lease_end = std::max(m_lease_end, it);
    }

    /// After this time all granted leases have expired.
    [[nodiscard]] base::instant lease_end() const noexcept
    {
        return m_lease_end;
    }

    /// Whether the instance is listed and its entry is recent enough to start
    /// tasks by.
    [[nodiscard]] bool entry_valid(base::instant now,
                                   policy const& rules) const;

    [[nodiscard]] bool usable(base::instant now, policy const& rules) const
    {
        return entry_valid(now, rules) && m_fenced && m_reachable &&
               !m_info.draining && m_unknown_needs == 0 &&
               now >= m_paused_until;
    }

    void pause(base::instant until)
    {
        m_paused_until = std::max(m_paused_until, until);
    }

    /// Capacity minus the resources of all attempts that may be running.
    [[nodiscard]] workload::resources room() const noexcept
    {
        return m_info.capacity - m_used;
    }

    /// The capacity was reduced and attempts may use more than is left.
    /// Attempts that are merely found running after a takeover do not count as
    /// a reason to revoke starts that fitted when they were decided.
    [[nodiscard]] bool over_capacity() const noexcept
    {
        return m_shrunk && !workload::fits({}, room());
    }

    /// `room` plus the resources of attempts that are being stopped.
    [[nodiscard]] workload::resources room_soon() const;

    /// Precondition: the attempt is not present.
    attempt& add(attempt_name const& name, attempt it);

    /// Does nothing if the attempt is not present.
    void remove(attempt_name const& name);

    [[nodiscard]] attempt* find(attempt_name const& name);

    [[nodiscard]] std::map<attempt_name, attempt>& attempts() noexcept
    {
        return m_attempts;
    }

    [[nodiscard]] std::map<attempt_name, attempt> const&
    attempts() const noexcept
    {
        return m_attempts;
    }

    /// Whether any attempt may be running, that is, not all are merely planned.
    [[nodiscard]] bool holds_sent() const;

    /// Ends up to this number have been stored.
    [[nodiscard]] std::uint64_t seen_end() const noexcept
    {
        return m_seen_end;
    }

    void set_seen_end(std::uint64_t n)
    {
        m_seen_end = std::max(m_seen_end, n);
    }

    /// The last end that is stored and that the instance may still repeat; 0 if
    /// there is none.
    [[nodiscard]] std::uint64_t unacknowledged_end() const noexcept
    {
        return m_seen_end > m_acknowledged_end ? m_seen_end : 0;
    }

    /// It answered a request that acknowledged its ends up to this number.
    void note_acknowledged(std::uint64_t n)
    {
        m_acknowledged_end = std::max(m_acknowledged_end, n);
    }

    /// The connection that its last report came over; 0 if the instance did not
    /// keep that open, empty if it was lost since.
    [[nodiscard]] std::optional<std::uint64_t>
    report_connection() const noexcept
    {
        return m_report_connection;
    }

    void set_report_connection(std::optional<std::uint64_t> it)
    {
        m_report_connection = it;
    }

    /// Number of attempts here that belong to other jobs and are suspected of
    /// crashing instances.
    [[nodiscard]] std::uint32_t other_suspects(workload::job_id it) const;

    [[nodiscard]] bool has_label(std::string const& label) const;

    /// The label that names its rack; empty if it has none.
    [[nodiscard]] std::string const& rack() const noexcept
    {
        return m_rack;
    }

    /// The number of the last end that was read, whether it is stored or not:
    /// the instance repeats an end until it is acknowledged.
    std::uint64_t last_read_end{0};
    /// Number of task failures since the last success.
    std::uint32_t failures_in_a_row{0};
    /// The last scheduling round in which the instance was reserved for a gang.
    std::uint64_t reserved_in_round{0};
    /// The planned start of that gang.
    base::instant reserved_until{};

private:
    instance_info m_info;
    std::uint32_t m_number;
    account_ledger* m_ledger;
    attempt_count* m_counts;
    std::string m_rack;
    std::optional<base::instant> m_leaves_at;
    std::optional<base::instant> m_written_after;
    bool m_shrunk{false};
    bool m_listed{false};
    bool m_fenced{false};
    bool m_reachable{false};
    bool m_follows_former_life{false};
    workload::resources m_used;
    /// Number of attempts whose resource need is unknown. While there are any,
    /// nothing else is placed here, since the instance could be overcommitted.
    std::size_t m_unknown_needs{0};
    std::map<attempt_name, attempt> m_attempts;
    /// Whether there was any attempt.
    bool m_had_attempts{false};
    std::uint64_t m_seen_end{0};
    std::uint64_t m_acknowledged_end{0};
    std::optional<std::uint64_t> m_report_connection;
    std::optional<base::instant> m_reported_at;
    std::optional<base::instant> m_clock_read_at;
    std::int64_t m_clock_ms{0};
    base::instant m_lease_end;
    base::instant m_paused_until{};
    std::optional<base::instant> m_asked_at;
    std::optional<base::instant> m_start_sent_at;
    /// When the last report without attempts and ends was requested.
    std::optional<base::instant> m_empty_report_at;
    std::map<attempt_name, base::instant> m_open_orders;
};

/// The age of the instance's entry in seconds for log lines; negative if it is
/// unknown.
[[nodiscard]] double logged_age(instance const& it, base::instant now);

/// The time since then in seconds for log lines; negative if it is empty.
[[nodiscard]] double logged_ago(std::optional<base::instant> const& it,
                                base::instant now);

} // namespace berylhill::scheduler
