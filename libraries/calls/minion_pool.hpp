#pragma once

#include <base/time.hpp>
#include <calls/call.hpp>
#include <calls/call_queue.hpp>
#include <calls/ejection_rules.hpp>
#include <calls/generator.hpp>
#include <calls/group_digest.hpp>
#include <calls/minion_pool_action.hpp>
#include <calls/minion_slots.hpp>
#include <model/endpoint.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace berylhill::calls
{

struct minion_pool_settings
{
    /// Calls are refused rather than queued for longer than this many running
    /// times of a call. A queue of one or two running times evens out random
    /// variation and keeps every slot busy; a longer one only delays answers.
    double max_wait_runs{2};
    /// Absolute limit on the time in the queue.
    base::duration max_wait{std::chrono::milliseconds{500}};
    std::int32_t max_queued{1'024};
    /// Maximum time that a minion may take for a call, from the send on. Until
    /// then, or until its answer, the slot counts as taken.
    base::duration max_run_time{std::chrono::seconds{30}};
    /// Assumed running time of a call before the first one has ended.
    base::duration initial_run_time{std::chrono::milliseconds{20}};
    health_settings health;

    friend bool operator==(minion_pool_settings const&,
                           minion_pool_settings const&) = default;
};

/// State of a group's minions and of the calls that the group's owner holds.
/// Each offered call gets exactly one of `refuse_call` and `deliver_answer`;
/// each `send_to_minion` must be reported with exactly one of `answered`,
/// `not_run` and `connection_closed`. Not thread-safe.
class minion_pool
{
public:
    minion_pool(std::string group,
                std::string service,
                minion_pool_settings const& settings,
                generator random);

    /// Adds or updates a minion that is live or leaving, according to the
    /// platform's endpoint list or an announced stop. A leaving minion gets no
    /// new calls.
    [[nodiscard]] minion_pool_actions set_minion(model::endpoint const& it,
                                                 base::instant now);

    /// Removes a minion that is no longer on the platform's endpoint list. Its
    /// calls still end with `answered`, `not_run` or `connection_closed`.
    [[nodiscard]] minion_pool_actions remove_minion(std::string const& minion,
                                                    base::instant now);

    /// Records a call that an earlier owner of the group may have sent to the
    /// minion. Call for all such calls before the first `offer`; the slot is
    /// taken until `free_at` or `freed`.
    void adopt(std::string const& minion,
               std::string const& request_id,
               base::instant free_at,
               base::instant now);

    /// Takes a call for this group. A request id identifies one attempt: one
    /// that was offered before and whose deadline has not passed is ignored.
    [[nodiscard]] minion_pool_actions offer(call const& it, base::instant now);

    /// Handles a complete answer with this request id. An answer that reports a
    /// server error is `call_end::failed`.
    [[nodiscard]] minion_pool_actions
    answered(std::string const& request_id, call_end end, base::instant now);

    /// Handles a call that did not run: none of it was sent, or the minion
    /// answered that it did not run it.
    [[nodiscard]] minion_pool_actions not_run(std::string const& request_id,
                                              base::instant now);

    /// Handles a connection that was closed without a complete answer.
    [[nodiscard]] minion_pool_actions
    connection_closed(std::string const& request_id, base::instant now);

    /// Frees the slot of a call whose connection was closed, once the minion is
    /// known to have ended it.
    [[nodiscard]] minion_pool_actions freed(std::string const& request_id,
                                            base::instant now);

    /// Gives up on a call that its caller no longer awaits. The caller gets its
    /// final answer at once; a call that was sent keeps its slot.
    [[nodiscard]] minion_pool_actions give_up(std::string const& request_id,
                                              base::instant now);

    /// Handles the result of a `probe_minion`: whether the minion answered.
    [[nodiscard]] minion_pool_actions
    probed(std::string const& minion, bool there, base::instant now);

    /// Handles everything due at `now`. Call at `next_expiry()` or shortly
    /// after.
    [[nodiscard]] minion_pool_actions expire(base::instant now);

    [[nodiscard]] base::instant next_expiry(base::instant now) const;

    /// Refuses all queued calls, because the owner is stopping.
    [[nodiscard]] minion_pool_actions stop();

    /// `owner`, `epoch` and `sequence` are left for the caller to set.
    [[nodiscard]] group_digest digest(base::instant now) const;

    /// Number of calls sent to minions, awaited or not.
    [[nodiscard]] std::size_t in_flight() const noexcept
    {
        return m_sent_calls.size();
    }

    [[nodiscard]] std::size_t queued() const noexcept
    {
        return m_queue.size();
    }

    /// The slots of a minion; null if it is unknown.
    [[nodiscard]] minion_slots const* find(std::string const& minion) const;

    /// The minion to which this call was sent; empty if none.
    [[nodiscard]] std::string minion_of(std::string const& request_id) const;

private:
    struct sent_call
    {
        std::string minion;
        base::instant sent_at;
        /// Time from the send to the call's deadline.
        base::duration time_left{0};
        bool awaited{true};
    };
    using deadline_of = std::pair<base::instant, std::string>;
    using seen_until = std::pair<base::instant, std::uint64_t>;

    [[nodiscard]] bool is_first_offer(call const& it);
    void forget_seen(base::instant now);
    void give_up_expired(base::instant now, minion_pool_actions& out);
    void stop_waiting(std::string const& request_id,
                      sent_call& it,
                      minion_pool_actions& out);
    void dispatch(base::instant now, minion_pool_actions& out);
    void send(call const& it,
              minion_slots& minion,
              base::instant now,
              minion_pool_actions& out);
    void enqueue(call const& it, base::instant now, minion_pool_actions& out);
    [[nodiscard]] minion_slots* least_loaded(base::duration left,
                                             base::instant now);
    void refuse(call const& it,
                refusal_code code,
                base::instant now,
                minion_pool_actions& out);
    void end_sent_call(std::string const& request_id,
                       call_end end,
                       base::instant now);
    void record_timeout(sent_call const& it, base::instant now);
    void update_run_time(base::duration run);
    void eject_outlier(minion_slots& minion, base::instant now);
    void eject_unresponsive(base::instant now);
    void erase_removed();
    [[nodiscard]] bool may_eject() const;
    [[nodiscard]] peer_statistics
    peer_statistics_of(minion_slots const& except) const;
    [[nodiscard]] std::int32_t usable_slots(base::instant now) const;
    [[nodiscard]] base::duration expected_wait(double turns,
                                               base::instant now) const;

    std::string m_group;
    std::string m_service;
    minion_pool_settings m_settings;
    generator m_random;
    /// Ordered, so that equal inputs give equal decisions on every platform.
    std::map<std::string, minion_slots> m_minions;
    call_queue m_queue;
    std::unordered_map<std::string, sent_call> m_sent_calls;
    /// Deadlines of sent calls, including some that have ended since.
    std::priority_queue<deadline_of, std::vector<deadline_of>, std::greater<>>
        m_deadlines;
    /// Hashes of the offered request ids, kept until their deadlines.
    std::unordered_set<std::uint64_t> m_seen;
    std::priority_queue<seen_until, std::vector<seen_until>, std::greater<>>
        m_seen_until;
    ejection_rules m_ejection;
    std::set<std::string> m_removed;
    /// Smoothed running time of successful calls, and that of the fastest
    /// tenth.
    double m_run_time_s;
    double m_fast_run_time_s{0};
    /// Smoothed time that callers allow.
    double m_allowed_s{1};
    /// Recent refusals for lack of capacity, decayed by `expire`, for a
    /// realistic Retry-After.
    double m_refused{0};
    base::instant m_refused_since;
};

} // namespace berylhill::calls
