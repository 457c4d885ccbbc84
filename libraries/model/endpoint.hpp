#pragma once

#include <model/resources.hpp>

#include <compare>
#include <cstdint>
#include <string>

namespace berylhill::model
{

enum class endpoint_kind : std::uint8_t
{
    entry,  ///< An instance of our own.
    worker, ///< Runs tasks.
    minion, ///< Answers calls of one service.
};

enum class listed_state : std::uint8_t
{
    live,
    leaving,
};

/// One line of the platform's lagging list. A value.
struct endpoint
{
    std::string id;
    endpoint_kind kind{endpoint_kind::worker};
    listed_state state{listed_state::live};
    /// `IP:port`.
    std::string address;
    /// Path prefix under the address, for example `/workers/w-17`; may be
    /// empty.
    std::string path;
    std::string zone;
    std::string rack;
    /// Workers: what the machine holds.
    resources capacity;
    /// Minions: the service, and how much at once.
    std::string service;
    std::int32_t slots{0};
    std::int32_t connections{0};

    friend bool operator==(endpoint const&, endpoint const&) = default;
};

} // namespace berylhill::model
