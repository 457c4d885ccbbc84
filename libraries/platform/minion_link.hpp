#pragma once

#include <base/result.hpp>
#include <base/time.hpp>
#include <model/endpoint.hpp>

#include <compare>
#include <cstdint>
#include <string>

namespace berylhill::platform
{

/// One call as a minion gets it.
struct minion_call
{
    std::string request_id;
    std::string method{"POST"};
    /// Below the minion's own path, with the query.
    std::string target;
    std::string content_type;
    std::string body;
    std::string traceparent;

    friend bool operator==(minion_call const&, minion_call const&) = default;
};

/// A whole answer to the call with the same request id.
struct minion_answer
{
    std::int32_t status{0};
    std::string content_type;
    std::string body;

    friend bool operator==(minion_answer const&,
                           minion_answer const&) = default;
};

/// Speaks to minions. Implementations are thread-safe and block.
class minion_link
{
public:
    minion_link() = default;
    minion_link(minion_link const&) = delete;
    minion_link& operator=(minion_link const&) = delete;
    virtual ~minion_link() = default;

    /// Sends the call once. Fails with `unavailable` when no byte was sent or
    /// the minion itself said that it did not run it, and with
    /// `outcome_unknown` when no whole answer with this request id came within
    /// `timeout`.
    [[nodiscard]] virtual base::result<minion_answer>
    call(model::endpoint const& minion,
         minion_call const& call,
         base::duration timeout) = 0;

    /// A cheap question on a new connection: is the minion there? Fails with
    /// `unavailable`.
    [[nodiscard]] virtual base::result<base::done>
    ping(model::endpoint const& minion, base::duration timeout) = 0;
};

} // namespace berylhill::platform
