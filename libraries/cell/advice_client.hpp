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
    /// How long the tickets are valid.
    base::duration validity{0};
};

using advice_handler = std::function<void(advice_result const&)>;

/// Client of the service that knows which instances may run a step. The service
/// handles one request at a time for each client machine.
class advice_client
{
public:
    advice_client() = default;
    advice_client(advice_client const&) = delete;
    advice_client& operator=(advice_client const&) = delete;
    virtual ~advice_client() = default;

    /// `handler` is called once, on the event loop, at most `timeout` after the
    /// call.
    virtual void ask(workload::step_name const& step,
                     std::vector<std::string> const& instances,
                     base::duration timeout,
                     advice_handler handler) = 0;
};

} // namespace berylhill::cell
