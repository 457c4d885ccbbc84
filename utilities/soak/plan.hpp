#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace berylhill::soak
{

/// What goes wrong.
enum class fault_kind : std::uint8_t
{
    kill,
    /// SIGTERM, and a new start when the process has ended.
    terminate,
    freeze,
    kill_all,
    reload,
    store_link_silent,
    store_link_answers_lost,
    store_link_slow,
    store_link_reset,
    instance_link_silent,
    instance_link_reset,
    caller_link_reset,
    store_down,
    store_loses_answers,
    instance_crash,
    change_configuration,
    /// An instance rejects part of its requests.
    instance_rejects,
    /// Most orders to all instances get no answer and are carried out late.
    orders_late,
    /// A client account has no key.
    revoke_key,
    /// When the store loses its next answer, if it does.
    kill_owner,
    /// The store turns the owner and maybe more processes away, and serves the
    /// others.
    store_turns_away,
    /// The owner is cut off from the store and from the other processes
    /// together with some instances, which only it reaches.
    island,
    /// The queues move to the other service.
    move_queues,
};

/// How many kinds there are in every plan, and how many more of orders.
inline constexpr std::size_t fault_kinds = 16;
inline constexpr std::size_t order_fault_kinds = 2;

/// For the printed plan.
[[nodiscard]] std::string name_of(fault_kind it);

/// A fault of a plan. A value.
struct fault
{
    std::chrono::milliseconds at{0};
    std::chrono::milliseconds length{0};
    fault_kind kind{fault_kind::kill};
    /// Which process, link or instance; taken modulo their number.
    std::size_t target{0};

    friend auto operator<=>(fault const&, fault const&) = default;
};

/// The faults of a seed in the order of time; they may overlap and come in
/// series. Pure: the same seed gives the same plan.
[[nodiscard]] std::vector<fault> plan_of(std::uint64_t seed,
                                         std::chrono::milliseconds length);

/// The faults of orders of a seed, to be played beside its other faults; drawn
/// from a generator of their own. Pure.
[[nodiscard]] std::vector<fault>
order_plan_of(std::uint64_t seed, std::chrono::milliseconds length);

/// Keys that are revoked and given back in series while the store loses answers
/// and processes are killed, to be played beside the seed's other faults; drawn
/// from a generator of their own. Pure.
[[nodiscard]] std::vector<fault> key_plan_of(std::uint64_t seed,
                                             std::chrono::milliseconds length);

/// Instances that crash in turn, to be played beside the seed's other faults;
/// drawn from a generator of their own. Pure.
[[nodiscard]] std::vector<fault> life_plan_of(std::uint64_t seed,
                                              std::chrono::milliseconds length);

/// Spells in which the store turns processes away, one after the other, in
/// place of the seed's other faults of processes and of the store. Pure.
[[nodiscard]] std::vector<fault>
store_plan_of(std::uint64_t seed, std::chrono::milliseconds length);

/// Islands, one after the other, and some instances that crash, to be played
/// beside the seed's other faults; drawn from a generator of their own. Pure.
[[nodiscard]] std::vector<fault>
island_plan_of(std::uint64_t seed, std::chrono::milliseconds length);

/// Queues that move, and links to instances that are silent for longer than a
/// lease one after the other, to be played beside the seed's other faults;
/// drawn from a generator of their own. Pure.
[[nodiscard]] std::vector<fault> move_plan_of(std::uint64_t seed,
                                              std::chrono::milliseconds length);

} // namespace berylhill::soak
