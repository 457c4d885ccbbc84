#pragma once

#include <base/time.hpp>
#include <calls/attempt_rules.hpp>
#include <calls/dispatch_action.hpp>
#include <calls/generator.hpp>
#include <calls/retry_budget.hpp>
#include <calls/router.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

namespace berylhill::calls
{

/// How an attempt ended, as reported by its owner or by the connection to the
/// owner.
struct attempt_report
{
    std::string attempt_id;
    attempt_end end{attempt_end::answered};
    /// The owner's reason, if it gave one.
    std::optional<refusal> why;

    friend bool operator==(attempt_report const&,
                           attempt_report const&) = default;
};

/// How an attempt that an owner refused ended. Distinguishes a `not_run` of a
/// minion from one of the owner.
[[nodiscard]] attempt_end attempt_end_of(refusal const& why) noexcept;

/// Dispatches the admitted calls of an entry: chooses the owner that gets a
/// call, resends and hedges calls, and determines when a caller gets the final
/// answer. Each started call gets exactly one of `deliver_attempt` and
/// `refuse_request`, at its deadline at the latest. Not thread-safe.
class call_dispatcher
{
public:
    call_dispatcher(router_settings const& routes,
                    retry_settings const& retries,
                    generator random);

    /// Applies a digest received by gossip or with an owner's answer.
    void update_group(group_digest const& it, base::instant now);

    /// Removes a group that has lost its owner or has got a new one.
    void remove_group(std::string const& group);

    /// Dispatches an admitted call. Precondition: its request id is not in use
    /// here.
    [[nodiscard]] dispatch_actions
    start(call const& it, std::string const& service, base::instant now);

    /// Handles the end of an attempt. An attempt that is no longer awaited is
    /// ignored, so that a late or duplicate answer never reaches a caller.
    [[nodiscard]] dispatch_actions attempt_ended(attempt_report const& it,
                                                 base::instant now);

    /// Cancels all attempts of a request whose caller has disconnected.
    [[nodiscard]] dispatch_actions cancel(std::string const& request_id);

    /// Sends due resends and hedges, and refuses calls whose deadline has
    /// passed. Call at `next_expiry()` or shortly after.
    [[nodiscard]] dispatch_actions expire(base::instant now);

    /// When `expire` is due; empty if no timer is set.
    [[nodiscard]] std::optional<base::instant> next_expiry() const;

    /// Number of calls without a final answer.
    [[nodiscard]] std::size_t in_flight() const noexcept
    {
        return m_requests.size();
    }

    /// Number of further attempts at this call so far, for
    /// `admission::finished`; 0 for an unknown call. Call before the call's
    /// final answer is returned.
    [[nodiscard]] std::int32_t resends(std::string const& request_id) const;

    [[nodiscard]] bool knows_service(std::string const& service) const
    {
        return m_router.knows_service(service);
    }

private:
    struct attempt
    {
        std::string id;
        route to;
        bool open{true};
        /// No work was assigned; the same group may be asked again.
        bool uncharged{false};
    };
    struct request
    {
        call original;
        std::string service;
        std::vector<attempt> attempts;
        ran earlier_attempts{ran::not_run};
        std::optional<refusal> last_refusal;
        bool resend_scheduled{false};
    };
    enum class timer_kind : std::uint8_t
    {
        deadline,
        resend,
        hedge,
    };
    struct timer
    {
        base::instant at;
        std::string request_id;
        timer_kind kind;
        required_capacity capacity;
        bool charged{true};

        bool operator>(timer const& it) const noexcept
        {
            return at > it.at;
        }
    };

    void send(request& it,
              required_capacity room,
              bool paid,
              base::instant now,
              dispatch_actions& out);
    void schedule_hedge(request const& it, route const& to, base::instant now);
    void run_timer(timer const& it, base::instant now, dispatch_actions& out);
    void hedge(request& it, base::instant now, dispatch_actions& out);
    /// Returns false if no group has the required capacity.
    [[nodiscard]] bool
    schedule_resend(request& it, attempt_end end, base::instant now);
    [[nodiscard]] static std::vector<std::string>
    tried_groups(request const& it);
    /// Number of attempts that an owner accepted, or refused for lack of
    /// capacity.
    [[nodiscard]] static std::int32_t charged_attempts(request const& it);
    void finish(std::string const& request_id,
                std::string const& answered,
                dispatch_actions& out);
    void refuse(request const& it, ran work, dispatch_actions& out);
    [[nodiscard]] resend_allowance
    allowance_for(request const& it, bool paid, base::instant now) const;

    router m_router;
    retry_budget m_budget;
    std::unordered_map<std::string, request> m_requests;
    /// Request ids, keyed by attempt id.
    std::unordered_map<std::string, std::string> m_attempts;
    std::priority_queue<timer, std::vector<timer>, std::greater<>> m_timers;
};

} // namespace berylhill::calls
