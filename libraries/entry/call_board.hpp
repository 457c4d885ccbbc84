#pragma once

#include <calls/call_dispatcher.hpp>
#include <calls/call_outcome.hpp>

#include <base/time.hpp>

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace berylhill::entry
{

struct entry_node;
struct incoming_call;

/// Carries out what the dispatcher of calls decides: sends attempts to the
/// owners of groups and gives each caller's thread its final answer.
/// Thread-safe.
class call_board
{
public:
    explicit call_board(entry_node& self);
    ~call_board();
    call_board(call_board const&) = delete;
    call_board& operator=(call_board const&) = delete;

    /// An admitted call's final answer, by its deadline at the latest. Blocks.
    /// `resends` is set to the number of further attempts.
    [[nodiscard]] calls::call_outcome run(incoming_call const& it,
                                          std::int32_t& resends);

    void heard(calls::group_digest const& it);

    /// Whether any group of the service is known.
    [[nodiscard]] bool knows(std::string const& service);

private:
    /// A call whose thread waits for its final answer.
    struct waiting
    {
        std::shared_ptr<incoming_call const> call;
        std::deque<calls::send_to_owner> to_send;
        /// By attempt id: what came back.
        std::map<std::string, calls::call_outcome> outcomes;
        std::optional<calls::call_outcome> last;
        std::condition_variable changed;
    };

    void expire_loop(std::stop_token const& stop);
    void perform(calls::dispatch_actions const& todo);
    void perform(calls::send_to_owner const& it);
    void perform(calls::deliver_attempt const& it);
    void perform(calls::refuse_request const& it);
    void perform(calls::cancel_attempt const& it);
    void begin(waiting const& from, calls::send_to_owner const& it);
    void attempt(std::shared_ptr<incoming_call const> const& call,
                 calls::send_to_owner const& it);
    void attempt_ended(calls::send_to_owner const& it,
                       base::outcome<calls::call_outcome> const& answer);

    entry_node& m_node;
    std::mutex m_mutex;
    calls::call_dispatcher m_dispatcher;
    std::map<std::string, waiting*> m_waiting;
    std::uint64_t m_last_id{0};
    std::condition_variable_any m_planned;
    std::jthread m_timer;
};

} // namespace berylhill::entry
