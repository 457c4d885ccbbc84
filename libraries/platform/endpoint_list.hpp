#pragma once

#include <base/result.hpp>
#include <model/endpoint.hpp>

#include <vector>

namespace berylhill::platform
{

/// The platform's lagging list of live and leaving instances. Implementations
/// are thread-safe and block.
class endpoint_list
{
public:
    endpoint_list() = default;
    endpoint_list(endpoint_list const&) = delete;
    endpoint_list& operator=(endpoint_list const&) = delete;
    virtual ~endpoint_list() = default;

    /// All that are live or leaving. Fails with `unavailable`.
    [[nodiscard]] virtual base::result<std::vector<model::endpoint>>
    fetch() = 0;
};

} // namespace berylhill::platform
