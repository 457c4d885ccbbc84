#pragma once

#include <base/time.hpp>
#include <network/socket_address.hpp>
#include <scheduler/orders.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace berylhill::cell
{

/// The recipient of an order and the owner's fencing token. A value.
struct order_target
{
    network::socket_address address;
    /// The life that is meant; see `scheduler::instance_life`.
    std::string instance;
    /// The owner's fencing token; instances refuse tokens lower than the
    /// highest they have seen.
    std::uint64_t token{0};

    friend bool operator==(order_target const&, order_target const&) = default;
};

struct start_result
{
    scheduler::start_answer answer{scheduler::start_answer::unanswered};
    /// The instance's clock in milliseconds; 0 if the answer did not contain
    /// it.
    std::int64_t clock_ms{0};
};

enum class order_outcome : std::uint8_t
{
    done,
    fenced,
    other_incarnation,
    refused,
    unanswered,
    /// The connection that a hold request had to go over was closed, so nothing
    /// was sent.
    not_sent,
};

struct hold_result
{
    order_outcome outcome{order_outcome::unanswered};
    /// Without times and `acknowledged`, which the caller fills in.
    scheduler::hold_report report;
};

using start_handler = std::function<void(start_result const&)>;
using order_handler = std::function<void(order_outcome)>;
using hold_handler = std::function<void(hold_result)>;

/// Sends orders to the instances that run tasks. Each handler is called once,
/// on the event loop, at most `timeout` after the call.
class instance_client
{
public:
    instance_client() = default;
    instance_client(instance_client const&) = delete;
    instance_client& operator=(instance_client const&) = delete;
    virtual ~instance_client() = default;

    virtual void start(order_target const& to,
                       scheduler::start_order const& it,
                       base::duration timeout,
                       start_handler handler) = 0;
    virtual void stop(order_target const& to,
                      scheduler::attempt_name const& it,
                      base::duration timeout,
                      order_handler handler) = 0;
    virtual void hold(order_target const& to,
                      scheduler::hold_order const& it,
                      base::duration timeout,
                      hold_handler handler) = 0;
};

} // namespace berylhill::cell
