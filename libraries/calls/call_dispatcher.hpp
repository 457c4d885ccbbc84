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

/// How an attempt ended, as its owner or the connection to it says.
struct attempt_report
{
    std::string attempt_id;
    attempt_end end{attempt_end::answered};
    /// The owner's reason, where it gave one.
    std::optional<refusal> why;

    friend bool operator==(attempt_report const&,
                           attempt_report const&) = default;
};

/// The end of an attempt that an owner refused. `not_run` of a minion is told
/// apart from the owner's own.
[[nodiscard]] attempt_end attempt_end_of(refusal const& why) noexcept;

/// An entry's admitted calls on their way: which owner gets a call, when it is
/// sent again or a second time, and when its caller gets the final answer.
/// Each started call gets exactly one of `deliver_attempt` and
/// `refuse_request`, at its deadline at the latest. Not thread-safe.
class call_dispatcher
{
public:
    call_dispatcher(router_settings const& routes,
                    retry_settings const& retries,
                    generator random);

    /// A digest came, by gossip or with an owner's answer.
    void update_group(group_digest const& it, base::instant now);

    /// The group has no owner any more, or another one from now on.
    void remove_group(std::string const& group);

    /// An admitted call. Precondition: its request id is new here.
    [[nodiscard]] dispatch_actions
    start(call const& it, std::string const& service, base::instant now);

    /// An attempt ended. One that nobody waits for does nothing: a late or
    /// doubled answer never reaches a caller.
    [[nodiscard]] dispatch_actions attempt_ended(attempt_report const& it,
                                                 base::instant now);

    /// The caller has gone away: its attempts are cancelled.
    [[nodiscard]] dispatch_actions cancel(std::string const& request_id);

    /// Sends what backed off, hedges, and gives up at deadlines. Call at
    /// `next_expiry()` or a little later.
    [[nodiscard]] dispatch_actions expire(base::instant now);

    /// Empty when nothing is planned.
    [[nodiscard]] std::optional<base::instant> next_expiry() const;

    /// Calls without a final answer.
    [[nodiscard]] std::size_t in_flight() const noexcept
    {
        return m_requests.size();
    }

    /// Further attempts at this call so far, for `admission::finished`; 0 for
    /// one that is not known. Ask before its final answer is out.
    [[nodiscard]] std::int32_t resends(std::string const& request_id) const;

    [[nodiscard]] bool knows_service(std::string const& service) const
    {
        return m_router.knows(service);
    }

private:
    struct attempt
    {
        std::string id;
        route to;
        bool open{true};
        /// Nobody was given work; the same group may be asked again.
        bool moved{false};
    };
    struct request
    {
        call original;
        std::string service;
        std::vector<attempt> attempts;
        ran earlier{ran::not_run};
        std::optional<refusal> last_refusal;
        bool resend_planned{false};
    };
    enum class plan_kind : std::uint8_t
    {
        give_up,
        resend,
        hedge,
    };
    struct plan
    {
        base::instant at;
        std::string request_id;
        plan_kind kind;
        wanted_room room;
        bool paid{true};

        bool operator>(plan const& it) const noexcept
        {
            return at > it.at;
        }
    };

    void send(request& it,
              wanted_room room,
              bool paid,
              base::instant now,
              dispatch_actions& out);
    void plan_hedge(request const& it, route const& to, base::instant now);
    void run_plan(plan const& it, base::instant now, dispatch_actions& out);
    void hedge(request& it, base::instant now, dispatch_actions& out);
    /// False where no group would take it.
    [[nodiscard]] bool
    resend_later(request& it, attempt_end end, base::instant now);
    [[nodiscard]] static std::vector<std::string> tried(request const& it);
    /// Attempts that an owner took or refused for want of room.
    [[nodiscard]] static std::int32_t sent(request const& it);
    void finish(std::string const& request_id,
                std::string const& answered,
                dispatch_actions& out);
    void refuse(request const& it, ran work, dispatch_actions& out);
    [[nodiscard]] resend_room
    room_for(request const& it, bool paid, base::instant now) const;

    router m_router;
    retry_budget m_budget;
    std::unordered_map<std::string, request> m_requests;
    /// Request ids by attempt id.
    std::unordered_map<std::string, std::string> m_attempts;
    std::priority_queue<plan, std::vector<plan>, std::greater<>> m_plans;
};

} // namespace berylhill::calls
