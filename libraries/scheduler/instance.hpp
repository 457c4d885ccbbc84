#pragma once

#include <scheduler/account_ledger.hpp>
#include <scheduler/orders.hpp>
#include <scheduler/policy.hpp>
#include <workload/resources.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace berylhill::scheduler
{

/// What the platform's list says of an instance that runs tasks. A value.
struct instance_info
{
    std::string id;
    std::string service;
    /// `IP:port` of its control interface.
    std::string address;
    std::string zone;
    workload::resources capacity;
    /// Its kind and its rack.
    std::vector<std::string> labels;
    bool draining{false};
    /// Of one that drains: how long it stays at least.
    std::optional<base::duration> min_stay;

    friend bool operator==(instance_info const&,
                           instance_info const&) = default;
};

/// Where an attempt stands, as its owner knows.
enum class attempt_state : std::uint8_t
{
    /// The decision is being stored; no order has left.
    planned,
    /// An order has left; it may be carried out at any time.
    sent,
    /// A former owner stored the decision; whether its order was carried out
    /// is not known.
    inherited,
    running,
};

/// A start that takes room on an instance until it has surely ended.
struct attempt
{
    attempt_state state{attempt_state::planned};
    workload::resources need;
    /// An attempt of a job that has finished may be found running: what it
    /// takes is then not known any more.
    bool need_known{true};
    /// What it takes of its client account's cap, and the account; empty: it
    /// belongs to none.
    workload::resources of_cap;
    std::string account;
    std::string ticket;
    bool stop_wanted{false};
    /// An order without an answer may be carried out later.
    bool unanswered{false};
    /// Instances were lost under its task before.
    bool suspect{false};
    std::uint32_t tries{0};
    /// When the next order is sent, while one is needed.
    std::optional<base::instant> next_try;
    /// From then on no order of it can still take effect: a report that was
    /// asked for later and does not name it shows that it is gone.
    std::optional<base::instant> settled_at;
    base::instant began_at{};
    std::string checkpoint;
    int percent{0};
    /// When `percent` last rose.
    base::instant progressed_at{};
    /// When its instance last said that it runs.
    base::instant seen_at{};

    /// For how long it is known to have run.
    [[nodiscard]] base::duration seen_work() const noexcept
    {
        return state == attempt_state::running
                   ? std::max(base::duration{0}, seen_at - began_at)
                   : base::duration{0};
    }
};

/// What the owner knows of one instance, and the only count of its room.
/// Not thread-safe.
class instance
{
public:
    /// `lease_end` is when leases granted by former owners have surely
    /// lapsed; `number` is unique among the instances of one book. What its
    /// attempts take is counted in `ledger` too, which outlives it; null: in
    /// none.
    instance(std::string id,
             base::instant lease_end,
             std::uint32_t number = 0,
             account_ledger* ledger = nullptr);

    /// Stands for its name where names are compared often.
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

    /// The platform's list names it, with this.
    void list(instance_info it, base::instant now);

    /// When it leaves at the earliest; nothing while it does not drain.
    [[nodiscard]] std::optional<base::instant> leaves_at() const noexcept
    {
        return m_leaves_at;
    }

    /// The platform's list no longer names it.
    void unlist()
    {
        m_listed = false;
    }

    /// A report was received under the present owner's token: nothing that a
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

    /// An answer with the instance's clock was read.
    void heard(base::instant at, std::int64_t clock_ms);

    /// As `heard`, of a report: the instance is fenced and reachable.
    void reported(base::instant at, std::int64_t clock_ms);

    /// The end, on the instance's clock, of a lease granted now; 0 while its
    /// clock is unknown. Remembers when the lease has lapsed at the latest.
    [[nodiscard]] std::int64_t grant(base::instant now, policy const& rules);

    /// After it everything that was granted has lapsed.
    [[nodiscard]] base::instant lease_end() const noexcept
    {
        return m_lease_end;
    }

    [[nodiscard]] bool usable(base::instant now) const noexcept
    {
        return m_listed && m_fenced && m_reachable && !m_info.draining &&
               m_unknown_needs == 0 && now >= m_paused_until;
    }

    void pause(base::instant until)
    {
        m_paused_until = std::max(m_paused_until, until);
    }

    /// Capacity less all that may be running.
    [[nodiscard]] workload::resources room() const noexcept
    {
        return m_info.capacity - m_used;
    }

    /// It has shrunk, and more may be running than it holds. What is merely
    /// found running there after a takeover is no reason to take back what
    /// was decided within its room.
    [[nodiscard]] bool overfull() const noexcept
    {
        return m_shrunk && !workload::fits({}, room());
    }

    /// `room`, once the stops under way are done.
    [[nodiscard]] workload::resources room_soon() const;

    /// Precondition: not known yet.
    attempt& add(attempt_name const& name, attempt it);

    /// Does nothing where it is not known.
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

    /// Some attempt may be running: not all are merely planned.
    [[nodiscard]] bool holds_sent() const;

    /// Ends up to this number are stored.
    [[nodiscard]] std::uint64_t seen_end() const noexcept
    {
        return m_seen_end;
    }

    void set_seen_end(std::uint64_t n)
    {
        m_seen_end = std::max(m_seen_end, n);
    }

    /// Attempts of other jobs under whose tasks instances were lost before.
    [[nodiscard]] std::uint32_t suspects_beside(workload::job_id it) const;

    [[nodiscard]] bool has_label(std::string const& label) const;

    /// The label that names its rack; empty where it has none.
    [[nodiscard]] std::string const& rack() const noexcept
    {
        return m_rack;
    }

    /// Failures of tasks since the last success.
    std::uint32_t failures_in_a_row{0};
    /// The round of decisions in which it was last kept free for a gang.
    std::uint64_t kept_free_in{0};
    /// Until when, as that gang is planned.
    base::instant kept_free_until{};

private:
    instance_info m_info;
    std::uint32_t m_number;
    account_ledger* m_ledger;
    std::string m_rack;
    std::optional<base::instant> m_leaves_at;
    bool m_shrunk{false};
    bool m_listed{false};
    bool m_fenced{false};
    bool m_reachable{false};
    workload::resources m_used;
    /// Attempts whose need is not known: nothing is added beside them, or the
    /// instance could get more than it holds.
    std::size_t m_unknown_needs{0};
    std::map<attempt_name, attempt> m_attempts;
    std::uint64_t m_seen_end{0};
    std::optional<base::instant> m_clock_read_at;
    std::int64_t m_clock_ms{0};
    base::instant m_lease_end;
    base::instant m_paused_until{};
};

} // namespace berylhill::scheduler
