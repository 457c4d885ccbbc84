#pragma once

#include <cell/advice_client.hpp>
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
    /// The connection was refused.
    bool refused{false};
    std::optional<Answer> answer;
    /// Bytes received of an incomplete answer.
    std::uint64_t received{0};
    /// The call was sent before, on a connection that broke. The other process
    /// may carry out that send at any time; the answer is to the last one.
    bool sent_before{false};
};

/// Client of the other processes of the cell. Each handler is called once, on
/// the event loop.
class peer_client
{
public:
    explicit peer_client(network::http_client& client);

    /// Asks who owns the work. The other process answers after `wait`, or as
    /// soon as it releases ownership.
    void watch(network::socket_address const& to,
               watch_request const& question,
               base::duration wait,
               base::duration timeout,
               std::function<void(peer_result<watch_answer>)> done);

    /// Announces a new owner; no answer is expected.
    void announce(network::socket_address const& to, owner_view const& it);

    /// Requests the configuration of the other process. Ends with `not_sent`
    /// also if that process already sends as many copies as it may.
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
