#pragma once

#include <model/resources.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace berylhill::model
{

/// Whether a contract's running tasks may be checkpointed and moved for others.
enum class preemption : std::uint8_t
{
    never,
    by_checkpoint,
};

/// Which measure placement serves first for a contract.
enum class preference : std::uint8_t
{
    packing,
    waiting,
};

/// What one customer may use; every limit that the customer's work is held to
/// follows from here. A value: changed by publishing a new one.
struct contract
{
    std::string name;
    /// The data centre that serves this customer.
    std::string side;
    /// Share against other contracts when all want more than there is.
    double weight{1};
    /// Services that the contract's callers may call.
    std::vector<std::string> services;
    double calls_per_s{100};
    /// Calls that may arrive at once above the rate.
    std::int64_t call_burst{200};
    std::int64_t calls_at_once{200};
    double longest_call_s{30};
    /// What all running tasks of the contract may use together.
    resources quota{64'000, 262'144, 0};
    std::int64_t jobs_at_once{10'000};
    std::int64_t tasks_at_once{10'000};
    /// What urgent tasks may use together; empty where none are allowed.
    resources urgent_quota;
    preemption preempted{preemption::never};
    preference preferred{preference::waiting};
    /// How long a finished job can be asked for.
    double retention_s{86'400};

    friend bool operator==(contract const&, contract const&) = default;
};

} // namespace berylhill::model
