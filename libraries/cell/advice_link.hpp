#pragma once

#include <base/time.hpp>
#include <scheduler/orders.hpp>

#include <functional>
#include <string>
#include <vector>

namespace berylhill::cell
{

struct advice_result
{
    bool answered{false};
    std::vector<scheduler::permission> allowed;
    /// How long the tickets hold.
    base::duration validity{0};
};

using advice_handler = std::function<void(advice_result const&)>;

/// The service that knows which instances may run a step. It handles one
/// question at a time for each machine that asks.
class advice_link
{
public:
    advice_link() = default;
    advice_link(advice_link const&) = delete;
    advice_link& operator=(advice_link const&) = delete;
    virtual ~advice_link() = default;

    /// `handler` is called once, on the event loop, `timeout` after the call
    /// at the latest.
    virtual void ask(workload::step_name const& step,
                     std::vector<std::string> const& instances,
                     base::duration timeout,
                     advice_handler handler) = 0;
};

} // namespace berylhill::cell
