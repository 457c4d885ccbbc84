#pragma once

#include <base/time.hpp>
#include <ownership/claim_table.hpp>
#include <ownership/message.hpp>
#include <ownership/record.hpp>
#include <ownership/unit_distribution.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace berylhill::ownership
{

/// Which members have to vouch before an owner extends its lease without the
/// log.
enum class vouch_rule : std::uint8_t
{
    every_member, ///< All members that the owner knows.
    any_member,   ///< Any one of them. Unsafe; for the exhaustive test only.
};

/// How a process answers a vouch request while a claim of its own is
/// unresolved.
enum class unresolved_rule : std::uint8_t
{
    is_doubtful, ///< It reports the claimed unit as doubtful.
    is_ignored,  ///< It vouches. Unsafe; for the exhaustive test only.
};

/// What an owner needs if a member that it knows is no longer listed.
enum class removed_member_rule : std::uint8_t
{
    ask_all_listed, ///< Vouches of all entries on a newly fetched list.
    exempt, ///< No vouch of that member. Unsafe; for the exhaustive test only.
};

/// The rules that prevent two processes from acting for one unit. Only tests
/// use other than the default values.
struct safety_rules
{
    vouch_rule vouch{vouch_rule::every_member};
    unresolved_rule unresolved{unresolved_rule::is_doubtful};
    joiner_rule joiners{joiner_rule::wait_until_seen};
    removed_member_rule removed_members{removed_member_rule::ask_all_listed};

    friend auto operator<=>(safety_rules const&, safety_rules const&) = default;
};

struct participant_options
{
    std::string incarnation;
    std::string instance;
    std::string zone;
    /// How long a lease lasts, counted from before the exchange that granted
    /// it.
    base::duration lease_duration{std::chrono::milliseconds{2'500}};
    /// Added to `lease_duration` before acting on a claim over a unit that was
    /// not released, because clocks run at different rates.
    base::duration clock_margin{std::chrono::milliseconds{50}};
    /// A process without a heartbeat for this long is suspected to have failed.
    base::duration suspect_after{std::chrono::milliseconds{1'200}};
    /// A process sends heartbeats to at most this many others, its watchers,
    /// which report to all members when they stop receiving them. This keeps
    /// the number of messages an instance sends independent of the number of
    /// instances.
    std::size_t max_watchers{8};
    /// How often a watcher repeats its report of a process without heartbeats.
    base::duration suspicion_interval{std::chrono::milliseconds{500}};
    /// Replaces `suspect_after` while this process gets heartbeats from less
    /// than half of those it watches, and may itself be partitioned from them.
    base::duration isolated_suspect_after{std::chrono::milliseconds{4'000}};
    /// With fewer watched processes than this, missing heartbeats do not show
    /// which side of a network partition it is on.
    std::size_t min_peers_for_isolation{2};
    /// How long each process in a unit's preference order waits for the one
    /// before it to claim the unit.
    base::duration claim_delay_step{std::chrono::milliseconds{600}};
    /// A stopping process stays a member for at least this long. By then the
    /// others know from its heartbeats that it is leaving and have stopped
    /// handing units to it.
    base::duration min_leave_delay{std::chrono::milliseconds{700}};
    /// An owner hands units over if it owns more than the mean times this
    /// factor.
    double max_load_factor{1.25};
    base::duration rebalance_interval{std::chrono::seconds{2}};
    /// Number of records after which a new snapshot is written.
    std::int64_t snapshot_records{2'000};
    /// Time after which a new snapshot is written in any case; must be well
    /// below the log's retention.
    base::duration snapshot_interval{std::chrono::minutes{10}};
    safety_rules rules;

    friend auto operator<=>(participant_options const&,
                            participant_options const&) = default;
};

/// Append to the ownership stream, then call `on_append_settled`.
struct append_record
{
    std::uint64_t ticket{0};
    record value;

    friend auto operator<=>(append_record const&,
                            append_record const&) = default;
};

struct send_vouch_request
{
    /// An instance, with any incarnation.
    std::string to;
    vouch_request message;

    friend auto operator<=>(send_vouch_request const&,
                            send_vouch_request const&) = default;
};

struct send_vouch_answer
{
    /// An instance.
    std::string to;
    vouch_answer message;

    friend auto operator<=>(send_vouch_answer const&,
                            send_vouch_answer const&) = default;
};

/// Fetch the platform's endpoint list now, then call `on_entry_list`.
struct fetch_entry_list
{
    friend auto operator<=>(fetch_entry_list const&,
                            fetch_entry_list const&) = default;
};

struct send_suspicion
{
    /// An instance.
    std::string to;
    suspicion message;

    friend auto operator<=>(send_suspicion const&,
                            send_suspicion const&) = default;
};

using action = std::variant<append_record,
                            send_vouch_request,
                            send_vouch_answer,
                            send_suspicion,
                            fetch_entry_list>;
using actions = std::vector<action>;

/// How an append by this process ended.
enum class append_outcome : std::uint8_t
{
    written,
    never_written, ///< The record is not in the log and never will be.
};

/// State machine of one process in the ownership protocol: which units the
/// process may act for, and which actions claim, keep and hand over units.
/// Performs no I/O: each event is passed in with its instant and returns the
/// actions to perform. Not thread-safe.
///
/// No two processes act for one unit at the same time: a lease ends
/// `lease_duration` after an instant at which no claim over the unit had taken
/// effect. That is shown either by reading the log to its end, or by vouches of
/// every member that could have claimed the unit. A claim over a unit that was
/// not released is acted on only `lease_duration + clock_margin` after it was
/// read from the log, and so after the older lease has ended.
class participant
{
public:
    /// `now` is when the process began to listen for heartbeats.
    participant(participant_options options, base::instant now);

    /// Sets the units that should have an owner.
    [[nodiscard]] actions set_units(std::set<std::string> units,
                                    base::instant now);

    /// Records were read in log order up to offset `next`. `fresh_as_of` is an
    /// instant before the read began; present only if the read reached the
    /// stream's end.
    [[nodiscard]] actions
    on_log_read(std::vector<std::pair<std::int64_t, record>> const& records,
                std::int64_t next,
                std::optional<base::instant> fresh_as_of,
                base::instant now);

    /// Retention has deleted records that this process had not read; `first` is
    /// the oldest offset left.
    void on_log_gap(std::int64_t first);

    [[nodiscard]] actions on_append_settled(std::uint64_t ticket,
                                            append_outcome outcome,
                                            base::instant now);

    [[nodiscard]] actions on_heartbeat(heartbeat const& it, base::instant now);

    /// A watcher reports a process without heartbeats.
    [[nodiscard]] actions on_suspicion(suspicion const& it, base::instant now);

    /// The instances to which `own_heartbeat` has to be sent about every 300
    /// ms.
    [[nodiscard]] std::set<std::string> heartbeat_targets() const;

    /// The entries on the platform's endpoint list, active or leaving, by
    /// instance; the list was requested at `as_of`.
    [[nodiscard]] actions on_entry_list(std::set<std::string> instances,
                                        base::instant as_of);

    [[nodiscard]] actions on_vouch_request(vouch_request const& it,
                                           base::instant now);
    [[nodiscard]] actions on_vouch_answer(vouch_answer const& it,
                                          base::instant now);

    /// Starts handing over all units. Done when `stopped` returns true.
    [[nodiscard]] actions stop(base::instant now);

    /// Has to be called about every 100 ms.
    [[nodiscard]] actions tick(base::instant now);

    /// The epoch under which this process may act for the unit at `now`; empty
    /// if it may not. Has to be called immediately before each send, so that a
    /// process that was paused finds its lease expired.
    [[nodiscard]] std::optional<std::int64_t>
    active_epoch(std::string const& unit, base::instant now) const;

    /// The units owned by this process according to the table, whether or not
    /// it may act for them now.
    [[nodiscard]] std::vector<std::string> owned_units() const;

    /// The incarnation of the unit's owner, to which requests are routed; empty
    /// if the unit has none.
    [[nodiscard]] std::optional<std::string>
    owner_of(std::string const& unit) const;

    [[nodiscard]] claim_table const& table() const noexcept
    {
        return m_table;
    }
    [[nodiscard]] heartbeat own_heartbeat() const;

    /// Members that are not suspected to have failed, including this process.
    [[nodiscard]] std::vector<candidate> live_members(base::instant now) const;

    /// The `leave` record is in the log, or a newer process runs on this
    /// instance.
    [[nodiscard]] bool stopped() const noexcept
    {
        return m_has_left;
    }
    /// The end of the lease granted by reading the log; in the past during a
    /// log outage.
    [[nodiscard]] base::instant log_lease_until() const noexcept
    {
        return m_log_lease_until;
    }
    /// The end of the lease granted by vouches.
    [[nodiscard]] base::instant vouched_until() const noexcept
    {
        return m_vouched_until;
    }

    friend auto operator<=>(participant const&, participant const&) = default;

private:
    /// Digests the private state for the exhaustive test.
    friend class state_digester;

    struct peer
    {
        std::string instance;
        /// When its last heartbeat was received, or its `join` record was read.
        base::instant last_heard{};
        /// When a claim of this process was last read.
        base::instant last_claim_read{};
        bool leaving{false};

        friend auto operator<=>(peer const&, peer const&) = default;
    };

    struct vouch_round
    {
        std::uint64_t number{0};
        base::instant started{};
        /// The incarnations that have answered, and their instances.
        std::set<std::string> incarnations;
        std::set<std::string> instances;
        std::set<std::string> doubtful;

        friend auto operator<=>(vouch_round const&,
                                vouch_round const&) = default;
    };

    void apply_record(std::int64_t offset, record const& it, base::instant now);
    void resolve_own_append(record const& it);
    void update_activation(std::string const& unit,
                           apply_result const& result,
                           base::instant now);
    void append(record it, actions& out);
    template <class Record>
    [[nodiscard]] bool has_pending() const
    {
        return std::any_of(m_unresolved.begin(), m_unresolved.end(),
                           [](auto const& it) {
                               return std::holds_alternative<Record>(it.second);
                           });
    }
    [[nodiscard]] bool has_pending_claim(std::string const& unit) const;
    void discard_append(std::uint64_t ticket);
    [[nodiscard]] bool is_member() const;
    [[nodiscard]] bool log_is_fresh(base::instant now) const;

    void request_join(base::instant now, actions& out);
    void publish_seen(actions& out);
    void remove_unlisted_members(base::instant now, actions& out);
    void claim_unowned_units(base::instant now, actions& out);
    void rebalance(base::instant now, actions& out);
    void write_snapshot(base::instant now, actions& out);
    void leave_when_ready(base::instant now, actions& out);
    void request_vouches(base::instant now, actions& out);
    void finish_round();
    [[nodiscard]] bool all_members_answered() const;
    [[nodiscard]] bool all_listed_answered() const;

    [[nodiscard]] bool is_alive(std::string const& incarnation,
                                base::instant now,
                                base::duration timeout) const;
    [[nodiscard]] bool is_preferred_for(std::string const& key,
                                        base::instant now) const;
    [[nodiscard]] bool is_suspected(std::string const& incarnation,
                                    base::instant now) const;
    [[nodiscard]] base::duration suspect_timeout(base::instant now) const;
    [[nodiscard]] bool is_isolated(base::instant now) const;
    [[nodiscard]] bool is_probably_partitioned(base::instant now) const;
    void update_watchers();
    void report_silent_peers(base::instant now, actions& out);
    [[nodiscard]] unit_counts count_units() const;
    [[nodiscard]] std::vector<candidate>
    eligible_owners(base::instant now) const;
    [[nodiscard]] std::vector<std::string> surplus_units(double mean) const;
    void claim_unit(std::string const& unit,
                    std::vector<candidate> const& candidates,
                    unit_counts& load,
                    base::instant now,
                    actions& out);
    void hand_over(std::string const& unit,
                   std::string const& successor,
                   actions& out);
    [[nodiscard]] std::string
    choose_successor(std::string const& unit,
                     std::vector<candidate> const& candidates,
                     unit_counts& load,
                     std::size_t max_units) const;

    participant_options m_options;
    claim_table m_table;
    std::set<std::string> m_units;
    base::instant m_started{};
    std::uint64_t m_last_ticket{0};
    /// Appends whose outcome is unknown: neither read from the log nor failed.
    std::map<std::uint64_t, record> m_unresolved;
    /// Those of them that were written, and when that became known.
    std::map<std::uint64_t, base::instant> m_written_at;
    /// From when on this process acts for each unit that it owns.
    std::map<std::string, base::instant> m_active_from;
    /// Since when a unit has had no live owner.
    std::map<std::string, base::instant> m_unowned_since;
    /// Units with a pending `release` record. This process no longer acts for
    /// them.
    std::set<std::string> m_releasing;
    base::instant m_log_lease_until{};
    base::instant m_vouched_until{};
    /// The units to which `m_vouched_until` does not apply.
    std::set<std::string> m_doubtful_units;
    std::optional<vouch_round> m_vouch_round;
    std::uint64_t m_last_round{0};
    std::map<std::string, peer> m_peers;
    /// The incarnations whose heartbeats this process monitors, and the
    /// instances that monitor its own.
    std::set<std::string> m_watched;
    std::set<std::string> m_watchers;
    /// The members for which `m_watched` and `m_watchers` were computed.
    std::vector<candidate> m_watch_inputs;
    /// When missing heartbeats of a process were last reported, by its
    /// incarnation and the watcher's.
    std::map<std::string, std::map<std::string, base::instant>> m_suspected;
    base::instant m_last_suspicion_at{};
    /// The instances on the last endpoint list, and those on any list so far.
    std::set<std::string> m_listed;
    std::set<std::string> m_ever_listed;
    std::optional<base::instant> m_listed_as_of;
    base::instant m_joined_at{};
    base::instant m_stopping_since{};
    base::instant m_last_rebalance{};
    base::instant m_last_snapshot{};
    std::int64_t m_snapshot_through{0};
    bool m_stopping{false};
    bool m_has_left{false};
    /// Set when the table is completed without a snapshot after a gap: before
    /// this instant, a unit that is free in the table may have an owner.
    base::instant m_trust_free_units_from{};
    /// Inputs of the last `claim_unowned_units`, which has nothing to do while
    /// they stay the same.
    std::uint64_t m_scanned_table_version{0};
    std::vector<candidate> m_scanned_live_members;
    bool m_scan_is_current{false};
};

} // namespace berylhill::ownership
