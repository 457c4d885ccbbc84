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
    /// Calls are refused rather than queued for longer than this many times
    /// what a call takes: a queue of one or two runs evens out chance and
    /// keeps every slot busy, a longer one only makes answers late.
    double longest_wait_runs{2};
    /// The same as a time, whatever a call takes.
    base::duration longest_wait{std::chrono::milliseconds{500}};
    std::int32_t most_queued{1'024};
    /// The longest that a minion may be at a call, from the send on; until
    /// then, or its answer, the slot counts as taken.
    base::duration longest_run{std::chrono::seconds{30}};
    /// What a call takes before the first one ended.
    base::duration first_run{std::chrono::milliseconds{20}};
    health_settings health;

    friend bool operator==(minion_pool_settings const&,
                           minion_pool_settings const&) = default;
};

/// What a group's owner knows of its minions and of the calls in its hands.
/// Each call that it is offered gets exactly one of `refuse_call` and
/// `deliver_answer`; each `send_to_minion` is to be reported with exactly one
/// of `answered`, `not_run` and `unknown`. Not thread-safe.
class minion_pool
{
public:
    minion_pool(std::string group,
                std::string service,
                minion_pool_settings const& settings,
                generator random);

    /// A minion of the group is live or leaving, as the platform's list or an
    /// announced stop says. A leaving one gets nothing new from now on.
    [[nodiscard]] minion_pool_actions set_minion(model::endpoint const& it,
                                                 base::instant now);

    /// A minion is off the platform's list. Calls on it still end by
    /// `answered`, `not_run` or `unknown`.
    [[nodiscard]] minion_pool_actions remove_minion(std::string const& minion,
                                                    base::instant now);

    /// An earlier owner of the group may have this call on the minion. Call
    /// for all of them before the first `offer`; the slot is taken until
    /// `free_at` or `freed`.
    void adopt(std::string const& minion,
               std::string const& request_id,
               base::instant free_at,
               base::instant now);

    /// A call came for this group. A request id names one attempt: one that
    /// was offered before and whose deadline has not passed does nothing.
    [[nodiscard]] minion_pool_actions offer(call const& it, base::instant now);

    /// A whole answer with this request id came. An answer that says the
    /// server failed is `call_end::failed`.
    [[nodiscard]] minion_pool_actions
    answered(std::string const& request_id, call_end end, base::instant now);

    /// No byte of the call left, or the minion said that it did not run it.
    [[nodiscard]] minion_pool_actions not_run(std::string const& request_id,
                                              base::instant now);

    /// The connection is closed without a whole answer.
    [[nodiscard]] minion_pool_actions
    connection_closed(std::string const& request_id, base::instant now);

    /// The minion is known to have ended a call whose connection was closed.
    [[nodiscard]] minion_pool_actions freed(std::string const& request_id,
                                            base::instant now);

    /// The caller does not wait any more. It gets its final answer at once; a
    /// call that was sent keeps its slot.
    [[nodiscard]] minion_pool_actions give_up(std::string const& request_id,
                                              base::instant now);

    /// The answer to a `probe_minion`.
    [[nodiscard]] minion_pool_actions
    probed(std::string const& minion, bool there, base::instant now);

    /// Does what is due at `now`. Call at `next_expiry()` or a little later.
    [[nodiscard]] minion_pool_actions expire(base::instant now);

    [[nodiscard]] base::instant next_expiry(base::instant now) const;

    /// Refuses all that wait: the owner is stopping.
    [[nodiscard]] minion_pool_actions stop();

    /// `owner`, `epoch` and `sequence` are left for the caller to set.
    [[nodiscard]] group_digest digest(base::instant now) const;

    /// Calls on minions, awaited or not.
    [[nodiscard]] std::size_t in_flight() const noexcept
    {
        return m_flights.size();
    }

    [[nodiscard]] std::size_t queued() const noexcept
    {
        return m_queue.size();
    }

    /// The minion's slots; null for one that is not known.
    [[nodiscard]] minion_slots const* find(std::string const& minion) const;

    /// The minion that has this call, empty where none has.
    [[nodiscard]] std::string minion_of(std::string const& request_id) const;

private:
    struct flight
    {
        std::string minion;
        base::instant sent_at;
        /// Until the call's deadline.
        base::duration allowed{0};
        bool awaited{true};
    };
    using deadline_of = std::pair<base::instant, std::string>;
    using seen_until = std::pair<base::instant, std::uint64_t>;

    [[nodiscard]] bool first_sight(call const& it);
    void forget_seen(base::instant now);
    void give_up_late(base::instant now, minion_pool_actions& out);
    void stop_waiting(std::string const& request_id,
                      flight& it,
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
    void
    end_flight(std::string const& request_id, call_end end, base::instant now);
    void note_timeout(flight const& it, base::instant now);
    void learn_run(base::duration run);
    void judge(minion_slots& minion, base::instant now);
    void judge_silent(base::instant now);
    void erase_removed();
    [[nodiscard]] bool may_eject() const;
    [[nodiscard]] peer_figures peers_of(minion_slots const& except) const;
    [[nodiscard]] std::int32_t usable_slots(base::instant now) const;
    [[nodiscard]] base::duration wait_of(double turns, base::instant now) const;

    std::string m_group;
    std::string m_service;
    minion_pool_settings m_settings;
    generator m_random;
    /// Ordered, so that equal inputs give equal choices everywhere.
    std::map<std::string, minion_slots> m_minions;
    call_queue m_queue;
    std::unordered_map<std::string, flight> m_flights;
    /// Of the flights, and of some that have ended since.
    std::priority_queue<deadline_of, std::vector<deadline_of>, std::greater<>>
        m_deadlines;
    /// Hashes of the request ids offered, until their deadlines.
    std::unordered_set<std::uint64_t> m_seen;
    std::priority_queue<seen_until, std::vector<seen_until>, std::greater<>>
        m_seen_until;
    ejection_rules m_ejection;
    std::set<std::string> m_removed;
    /// What good answers take, smoothed, and what the fastest tenth takes.
    double m_run_s;
    double m_fast_run_s{0};
    /// How long callers allow, smoothed.
    double m_allowed_s{1};
    /// Refused for load since the last expiry, for an honest Retry-After.
    double m_refused{0};
    base::instant m_refused_since;
};

} // namespace berylhill::calls
