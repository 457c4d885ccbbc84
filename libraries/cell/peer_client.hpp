#pragma once

#include <cell/advice_link.hpp>
#include <cell/job_call.hpp>
#include <cell/peer_messages.hpp>
#include <network/http_client.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace berylhill::cell
{

/// How a call to another process ended; the answer where there is one.
template <class Answer>
struct peer_result
{
    network::call_end end{network::call_end::not_sent};
    /// Nothing listens there.
    bool refused{false};
    std::optional<Answer> answer;
    /// Bytes that came of an answer that isn't whole.
    std::uint64_t received{0};
};

/// Calls from one process of the cell to another. Handlers are called once
/// each, on the event loop.
class peer_client
{
public:
    explicit peer_client(network::http_client& client);

    /// Asks who owns the work; the other side answers after `wait`, or as
    /// soon as it leaves.
    void watch(network::socket_address const& to,
               watch_question const& question,
               base::duration wait,
               base::duration timeout,
               std::function<void(peer_result<watch_answer>)> done);

    /// Tells of a new owner; nothing is expected back.
    void announce(network::socket_address const& to, owner_view const& it);

    /// Asks for the configuration that the other process has; `not_sent` also
    /// where it has copies enough under way.
    void
    configuration(network::socket_address const& to,
                  network::call_patience const& patience,
                  std::function<void(peer_result<configuration_record>)> done);

    void call(network::socket_address const& to,
              job_call const& it,
              base::duration timeout,
              std::function<void(peer_result<job_answer>)> done);

    void advise(network::socket_address const& to,
                workload::step_name const& step,
                std::vector<std::string> const& instances,
                base::duration timeout,
                advice_handler done);

private:
    void send(network::socket_address const& to,
              std::string target,
              std::string body,
              network::call_patience const& patience,
              network::call_handler done);

    network::http_client& m_client;
};

} // namespace berylhill::cell
