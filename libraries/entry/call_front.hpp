#pragma once

#include <calls/admission.hpp>
#include <calls/call_outcome.hpp>
#include <entry/call_board.hpp>
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
    void wait_for_group(incoming_call const& it);
    [[nodiscard]] bool has_minions(std::string const& service) const;

    entry_node& m_node;
    call_keys m_keys;
    std::mutex m_mutex;
    calls::admission m_admission;
    std::shared_ptr<void const> m_contracts_seen;
    std::vector<std::string> m_known;
    call_board m_board;
};

} // namespace berylhill::entry
