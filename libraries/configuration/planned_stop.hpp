#pragma once

#include <model/endpoint.hpp>

#include <compare>
#include <cstdint>
#include <string>

namespace berylhill::configuration
{

/// The announced stop of an instance or an endpoint.
struct planned_stop
{
    model::endpoint_kind kind{model::endpoint_kind::worker};
    std::string endpoint;
    std::string operator_name;
    /// The offset of the announcement.
    std::int64_t announced{-1};
    std::int64_t at_us{0};
    bool done{false};

    friend auto operator<=>(planned_stop const&, planned_stop const&) = default;
};

} // namespace berylhill::configuration
