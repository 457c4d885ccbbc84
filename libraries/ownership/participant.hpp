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

/// Whose word an owner needs to go on without the log.
enum class vouch_rule : std::uint8_t
{
    every_member, ///< All that it knows.
    any_member,   ///< Not safe; for the exhaustive test only.
};

/// What a process with an unresolved claim says when it is asked to vouch.
enum class unresolved_rule : std::uint8_t
{
    is_doubtful, ///< That the unit may be its own.
    is_ignored,  ///< Not safe; for the exhaustive test only.
};

/// What an owner needs where a member that it knows is gone for good.
enum class removed_member_rule : std::uint8_t
{
    ask_all_listed, ///< All that a list fetched since shows have vouched.
    exempt,         ///< Not safe; for the exhaustive test only.
};

/// The rules that keep two processes from acting for one unit. Only tests give
/// other values.
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
    /// How long a right lasts, from before the exchange that granted it.
    base::duration lease_duration{std::chrono::milliseconds{2'500}};
    /// Added to `right` before a claim over a living owner is acted on, for
    /// clocks that run at unlike rates.
    base::duration clock_margin{std::chrono::milliseconds{50}};
    /// A process not heard for this long is taken for dead.
    base::duration suspect_after{std::chrono::milliseconds{1'200}};
    /// A process beats to at most this many others. They tell the rest when it
    /// falls silent, so that what an instance sends does not grow with the
    /// number of instances.
    std::size_t max_watchers{8};
    /// How often a watcher repeats that a process is silent.
    base::duration suspicion_interval{std::chrono::milliseconds{500}};
    /// Longer, where this process hears less than half of the others and may
    /// itself be the one that is cut off.
    base::duration isolated_suspect_after{std::chrono::milliseconds{4'000}};
    /// With fewer others than this, hearing none says nothing about who is cut
    /// off.
    std::size_t min_peers_for_isolation{2};
    /// How long the process wanted first for a unit may leave it unclaimed.
    base::duration claim_delay_step{std::chrono::milliseconds{600}};
    /// A stopping process takes part for this long, so that the others, who
    /// hear of it by heartbeat, have ceased to hand units to it.
    base::duration min_leave_delay{std::chrono::milliseconds{700}};
    /// Load above the mean at which an owner passes units on.
    double max_load_factor{1.25};
    base::duration rebalance_interval{std::chrono::seconds{2}};
    /// Records after which the table is written again.
    std::int64_t snapshot_records{2'000};
    /// And the time after which it is, whatever was written: well below the
    /// log's retention.
    base::duration snapshot_interval{std::chrono::minutes{10}};
    safety_rules rules;

    friend auto operator<=>(participant_options const&,
                            participant_options const&) = default;
};

/// Append to the ownership stream; answer with `append_settled`.
struct append_record
{
    std::uint64_t ticket{0};
    record value;

    friend auto operator<=>(append_record const&,
                            append_record const&) = default;
};

struct send_vouch_request
{
    /// An instance, whatever its incarnation.
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

/// Read the platform's list now; answer with `listed`.
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

/// How an append of this process ended.
enum class append_outcome : std::uint8_t
{
    written,
    never_written, ///< It is not in the log and never will be.
};

/// What this process may do for which unit, and what it has to do to keep it
/// so. One an instance. Pure: each event comes with its instant and returns
/// the actions; not thread-safe.
///
/// Why no two processes act for one unit at once: a right ends `right` after
/// an instant at which no claim over it had taken effect, shown either by the
/// log's end or by every member that could have claimed. A claim over a unit
/// that was not released is acted on only `right + margin` after it was seen
/// in the log, so not before the older right has ended.
class participant
{
public:
    /// `now` is when the process started to listen.
    participant(participant_options options, base::instant now);

    /// The units that should have an owner.
    [[nodiscard]] actions set_units(std::set<std::string> units,
                                    base::instant now);

    /// Records in log order, as read up to `next`. `fresh_as_of` is an instant
    /// before the read, present if it reached the stream's end.
    [[nodiscard]] actions
    on_log_read(std::vector<std::pair<std::int64_t, record>> const& records,
                std::int64_t next,
                std::optional<base::instant> fresh_as_of,
                base::instant now);

    /// Retention dropped what this process had not read.
    void on_log_gap(std::int64_t first);

    [[nodiscard]] actions on_append_settled(std::uint64_t ticket,
                                            append_outcome end,
                                            base::instant now);

    [[nodiscard]] actions on_heartbeat(heartbeat const& it, base::instant now);

    /// A watcher does not hear a process.
    [[nodiscard]] actions on_suspicion(suspicion const& it, base::instant now);

    /// The instances that get `own_heartbeat` about every 300 ms.
    [[nodiscard]] std::set<std::string> heartbeat_targets() const;

    /// The instances on the platform's list, live or leaving; the request was
    /// sent at `as_of`.
    [[nodiscard]] actions on_entry_list(std::set<std::string> instances,
                                        base::instant as_of);

    [[nodiscard]] actions on_vouch_request(vouch_request const& it,
                                           base::instant now);
    [[nodiscard]] actions on_vouch_answer(vouch_answer const& it,
                                          base::instant now);

    /// Hand everything over; it is done when `stopped`.
    [[nodiscard]] actions stop(base::instant now);

    /// Call about every 100 ms.
    [[nodiscard]] actions tick(base::instant now);

    /// The epoch under which this process acts for the unit at `now`, if it
    /// may. Ask immediately before each send: a process that was paused finds
    /// its right lapsed here.
    [[nodiscard]] std::optional<std::int64_t>
    active_epoch(std::string const& unit, base::instant now) const;

    /// The units that this process owns by the table, whether or not it may
    /// act for them now.
    [[nodiscard]] std::vector<std::string> owned_units() const;

    /// Where a request for the unit goes: its owner's incarnation.
    [[nodiscard]] std::optional<std::string>
    owner_of(std::string const& unit) const;

    [[nodiscard]] claim_table const& table() const noexcept
    {
        return m_table;
    }
    [[nodiscard]] heartbeat own_heartbeat() const;

    /// Members that have been heard lately, with this process.
    [[nodiscard]] std::vector<candidate> live_members(base::instant now) const;

    /// All was handed over and the parting is in the log.
    [[nodiscard]] bool stopped() const noexcept
    {
        return m_left;
    }
    /// The end of the right that the log gave; in an outage it lies behind.
    [[nodiscard]] base::instant log_lease_until() const noexcept
    {
        return m_log_lease_until;
    }
    [[nodiscard]] base::instant vouched_until() const noexcept
    {
        return m_vouched_until;
    }

    friend auto operator<=>(participant const&, participant const&) = default;

private:
    /// Reads the whole state, for the exhaustive test.
    friend class state_digester;

    struct peer
    {
        std::string instance;
        base::instant last_heard{};
        /// When a record of this process was last read.
        base::instant last_claim_read{};
        bool leaving{false};

        friend auto operator<=>(peer const&, peer const&) = default;
    };

    struct vouch_round
    {
        std::uint64_t number{0};
        base::instant started{};
        /// Who answered: incarnations and their instances.
        std::set<std::string> incarnations;
        std::set<std::string> instances;
        std::set<std::string> doubtful;

        friend auto operator<=>(vouch_round const&,
                                vouch_round const&) = default;
    };

    void apply_record(std::int64_t offset, record const& it, base::instant now);
    void resolve_own_append(record const& it);
    void update_activation(std::string const& unit,
                           apply_result const& done,
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
    void ask_vouches(base::instant now, actions& out);
    void finish_round();
    [[nodiscard]] bool all_members_answered() const;
    [[nodiscard]] bool all_listed_answered() const;

    [[nodiscard]] bool is_alive(std::string const& incarnation,
                                base::instant now,
                                base::duration within) const;
    [[nodiscard]] bool is_preferred_for(std::string const& what,
                                        base::instant now) const;
    [[nodiscard]] bool is_suspected(std::string const& incarnation,
                                    base::instant now) const;
    [[nodiscard]] base::duration suspect_timeout(base::instant now) const;
    [[nodiscard]] bool is_isolated(base::instant now) const;
    [[nodiscard]] bool is_probably_cut_off(base::instant now) const;
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
                     std::size_t most) const;

    participant_options m_options;
    claim_table m_table;
    std::set<std::string> m_units;
    base::instant m_started{};
    std::uint64_t m_last_ticket{0};
    /// Appends of which this process does not know yet, from the log or by
    /// failure, how they ended.
    std::map<std::uint64_t, record> m_unresolved;
    /// Of these, the written ones, and when that became known.
    std::map<std::uint64_t, base::instant> m_written_at;
    /// From when on this process acts for the units that it has won.
    std::map<std::string, base::instant> m_active_from;
    /// Since when a unit has been without a living owner.
    std::map<std::string, base::instant> m_unowned_since;
    /// Release records under way: this process has stopped acting for these.
    std::set<std::string> m_releasing;
    base::instant m_log_lease_until{};
    base::instant m_vouched_until{};
    std::set<std::string> m_doubtful;
    std::optional<vouch_round> m_round;
    std::uint64_t m_last_round{0};
    std::map<std::string, peer> m_peers;
    /// The incarnations that beat to this process, and those that it beats to.
    std::set<std::string> m_watched;
    std::set<std::string> m_watchers;
    std::vector<candidate> m_watch_members;
    /// By the silent process and who says so.
    std::map<std::string, std::map<std::string, base::instant>> m_suspected;
    base::instant m_last_suspicion_at{};
    std::set<std::string> m_listed;
    std::set<std::string> m_ever_listed;
    std::optional<base::instant> m_listed_as_of;
    base::instant m_joined_at{};
    base::instant m_stopping_since{};
    base::instant m_last_rebalance{};
    base::instant m_last_snapshot{};
    std::int64_t m_snapshot_through{0};
    bool m_stopping{false};
    bool m_left{false};
    /// The table began after a gap that nobody could fill: until then, units
    /// that look free may have an owner.
    base::instant m_trust_free_units_from{};
    /// What `claim_orphans` looked at last; it has nothing to do while this
    /// stays.
    std::uint64_t m_scanned_table_version{0};
    std::vector<candidate> m_scanned_live;
    bool m_scanned{false};
};

} // namespace berylhill::ownership
