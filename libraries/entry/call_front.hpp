#pragma once

#include <calls/admission.hpp>
#include <calls/attempt_rules.hpp>
#include <calls/call_outcome.hpp>
#include <calls/retry_budget.hpp>
#include <calls/router.hpp>
#include <entry/call_keys.hpp>

#include <base/time.hpp>
#include <model/contract.hpp>
#include <model/job.hpp>

#include <caf/actor.hpp>

#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace berylhill::entry
{

struct entry_node;

/// A call as it came from outside.
struct incoming_call
{
    std::string request_id;
    std::string contract;
    std::string service;
    std::string method;
    std::string target;
    std::string content_type;
    std::string body;
    std::string idempotency_key;
    std::string traceparent;
    model::rerun safety{model::rerun::at_most_once};
    base::instant deadline{};
};

/// Takes calls at this entry: admits them by contract, chooses a group, and
/// tries again where the rules allow it. Thread-safe; `serve` blocks.
class call_front
{
public:
    explicit call_front(entry_node& self);

    /// The final answer to a call, given by its deadline at the latest.
    [[nodiscard]] calls::call_outcome serve(incoming_call const& it);

    void heard(calls::group_digest const& it);
    void heard(calls::entry_demand const& it);

    /// This entry's demand, for its heartbeat. Call once a heartbeat.
    [[nodiscard]] calls::entry_demand report();

    /// Another entry asks for a part of a limit that this one holds. Fails
    /// with `refused`.
    [[nodiscard]] base::result<Json::Value> admit_for(Json::Value const& asked);

    /// A call that was admitted for another entry has ended.
    [[nodiscard]] base::result<Json::Value>
    finished_for(Json::Value const& told);

    [[nodiscard]] call_keys& keys() noexcept
    {
        return m_keys;
    }

private:
    /// One attempt's end, and what to answer if it is the last.
    struct attempt
    {
        calls::attempt_end end{calls::attempt_end::not_sent};
        calls::call_outcome outcome;
    };

    void take_contracts(base::instant now);
    [[nodiscard]] std::optional<calls::refusal> admit(incoming_call const& it,
                                                      std::string& home);
    [[nodiscard]] bool ask_home(incoming_call const& it,
                                std::string const& home);
    void finished(incoming_call const& it,
                  std::string const& home,
                  base::duration took,
                  std::int32_t resends);
    [[nodiscard]] calls::call_outcome serve_admitted(incoming_call const& it,
                                                     std::int32_t& resends);
    [[nodiscard]] calls::call_outcome serve_keyed(incoming_call const& it,
                                                  std::int32_t& resends);
    [[nodiscard]] calls::call_outcome try_groups(incoming_call const& it,
                                                 std::int32_t& resends);
    [[nodiscard]] attempt try_group(incoming_call const& it,
                                    calls::route const& to,
                                    std::int32_t number);
    [[nodiscard]] std::optional<calls::route>
    wait_for_group(incoming_call const& it);
    [[nodiscard]] bool has_minions(std::string const& service) const;
    [[nodiscard]] std::optional<calls::route>
    choose(incoming_call const& it,
           std::vector<std::string> const& tried,
           calls::wanted_room room);
    [[nodiscard]] calls::resend_room room_for(incoming_call const& it,
                                              calls::attempt_end end,
                                              std::int32_t number);
    void note(calls::route const& to, attempt const& it);

    entry_node& m_node;
    call_keys m_keys;
    std::mutex m_mutex;
    calls::admission m_admission;
    calls::router m_router;
    calls::retry_budget m_budget;
    std::shared_ptr<void const> m_contracts_seen;
    std::vector<std::string> m_known;
};

} // namespace berylhill::entry
