#include <soak/plan.hpp>

#include <algorithm>
#include <array>
#include <iterator>
#include <random>
#include <span>

namespace berylhill::soak
{

std::string name_of(fault_kind it)
{
    static constexpr char const* names[] = {
        "kill",
        "terminate",
        "freeze",
        "kill_all",
        "reload",
        "store_link_silent",
        "store_link_answers_lost",
        "store_link_slow",
        "store_link_reset",
        "instance_link_silent",
        "instance_link_reset",
        "caller_link_reset",
        "store_down",
        "store_loses_answers",
        "instance_crash",
        "change_configuration",
        "instance_rejects",
        "orders_late",
        "revoke_key",
        "kill_owner",
        "store_turns_away",
        "island",
        "move_queues",
    };
    static_assert(std::size(names) ==
                  static_cast<std::size_t>(fault_kind::move_queues) + 1);
    return names[static_cast<std::size_t>(it)];
}

std::vector<fault> plan_of(std::uint64_t seed, std::chrono::milliseconds length)
{
    std::mt19937_64 random{seed};
    auto const draw = [&](std::int64_t from, std::int64_t to)
    {
        return std::uniform_int_distribution<std::int64_t>{from, to}(random);
    };
    constexpr std::int64_t fewest = 4;
    constexpr std::int64_t most = 11;
    constexpr std::int64_t shortest_ms = 100;
    constexpr std::int64_t longest_ms = 2'500;
    constexpr std::int64_t targets = 1'000;
    std::vector<fault> out;
    auto const n = draw(fewest, most);
    while (static_cast<std::int64_t>(out.size()) < n)
    {
        fault it;
        it.at = std::chrono::milliseconds{draw(0, length.count())};
        it.length = std::chrono::milliseconds{draw(shortest_ms, longest_ms)};
        it.kind = static_cast<fault_kind>(draw(0, fault_kinds - 1));
        it.target = static_cast<std::size_t>(draw(0, targets));
        out.push_back(it);
    }
    std::ranges::sort(out);
    return out;
}

std::vector<fault> order_plan_of(std::uint64_t seed,
                                 std::chrono::milliseconds length)
{
    struct bounds
    {
        fault_kind kind;
        std::int64_t fewest;
        std::int64_t most;
        std::int64_t shortest_ms;
        std::int64_t longest_ms;
    };
    constexpr std::array<bounds, order_fault_kinds> kinds{{
        {fault_kind::instance_rejects, 5, 12, 1'500, 5'000},
        {fault_kind::orders_late, 1, 2, 2'500, 7'000},
    }};
    // Another sequence than that of the other faults.
    constexpr std::uint64_t order_stream = 0x6f72646572730000;
    std::mt19937_64 random{seed ^ order_stream};
    auto const draw = [&](std::int64_t from, std::int64_t to)
    {
        return std::uniform_int_distribution<std::int64_t>{from, to}(random);
    };
    constexpr std::int64_t targets = 1'000;
    std::vector<fault> out;
    for (auto const& it : kinds)
    {
        for (auto n = draw(it.fewest, it.most); n > 0; --n)
        {
            fault made;
            made.at = std::chrono::milliseconds{draw(0, length.count())};
            made.length =
                std::chrono::milliseconds{draw(it.shortest_ms, it.longest_ms)};
            made.kind = it.kind;
            made.target = static_cast<std::size_t>(draw(0, targets));
            out.push_back(made);
        }
    }
    std::ranges::sort(out);
    return out;
}

namespace
{

/// Faults of one kind: from one to the next, and how long each lasts.
struct series
{
    fault_kind kind;
    std::int64_t shortest_gap_ms;
    std::int64_t longest_gap_ms;
    std::int64_t shortest_ms;
    std::int64_t longest_ms;
};

std::vector<fault> series_of(std::uint64_t seed,
                             std::chrono::milliseconds length,
                             std::span<series const> all)
{
    std::mt19937_64 random{seed};
    auto const draw = [&](std::int64_t from, std::int64_t to)
    {
        return std::uniform_int_distribution<std::int64_t>{from, to}(random);
    };
    constexpr std::int64_t targets = 1'000;
    constexpr std::int64_t longest_takeover_ms = 150;
    std::vector<fault> out;
    for (auto const& it : all)
    {
        auto const gap = [&]
        {
            return std::chrono::milliseconds{
                draw(it.shortest_gap_ms, it.longest_gap_ms)};
        };
        auto target = static_cast<std::size_t>(draw(0, targets));
        for (auto at = gap(); at < length; at += gap())
        {
            std::chrono::milliseconds const lasts{
                draw(it.shortest_ms, it.longest_ms)};
            out.push_back({at, lasts, it.kind, target++});
            // Calls whose answer goes with the owner are judged by the next
            // one some 100 ms later.
            for (auto n = it.kind == fault_kind::kill_owner ? 2U : 0U; n > 0;
                 --n)
            {
                std::chrono::milliseconds const after{
                    draw(0, longest_takeover_ms)};
                out.push_back(
                    {at + after, lasts, fault_kind::revoke_key, target + n});
            }
            // Spells of one kind that ends for all would end each other.
            at += it.kind == fault_kind::store_loses_answers ||
                          it.kind == fault_kind::store_turns_away ||
                          it.kind == fault_kind::island
                      ? lasts
                      : std::chrono::milliseconds{0};
        }
    }
    std::ranges::sort(out);
    return out;
}

} // namespace

std::vector<fault> key_plan_of(std::uint64_t seed,
                               std::chrono::milliseconds length)
{
    constexpr series all[] = {
        {fault_kind::revoke_key, 150, 400, 200, 900},
        {fault_kind::kill_owner, 900, 2'200, 100, 600},
        {fault_kind::kill, 1'500, 4'000, 100, 800},
        {fault_kind::store_loses_answers, 300, 2'500, 2'000, 4'000},
    };
    // Another sequence than those of the other faults.
    constexpr std::uint64_t key_stream = 0x6b65797300000000;
    return series_of(seed ^ key_stream, length, all);
}

std::vector<fault> life_plan_of(std::uint64_t seed,
                                std::chrono::milliseconds length)
{
    constexpr series all[] = {{fault_kind::instance_crash, 500, 2'000, 0, 0}};
    constexpr std::uint64_t life_stream = 0x6c69766573000000;
    return series_of(seed ^ life_stream, length, all);
}

std::vector<fault> store_plan_of(std::uint64_t seed,
                                 std::chrono::milliseconds length)
{
    constexpr series all[] = {
        {fault_kind::store_turns_away, 1'000, 2'500, 3'000, 4'500}};
    constexpr std::uint64_t store_stream = 0x73746f7265000000;
    return series_of(seed ^ store_stream, length, all);
}

std::vector<fault> island_plan_of(std::uint64_t seed,
                                  std::chrono::milliseconds length)
{
    constexpr series all[] = {
        {fault_kind::island, 2'000, 4'000, 4'000, 13'000},
        {fault_kind::instance_crash, 5'000, 12'000, 0, 0}};
    constexpr std::uint64_t island_stream = 0x69736c616e647300;
    return series_of(seed ^ island_stream, length, all);
}

std::vector<fault> move_plan_of(std::uint64_t seed,
                                std::chrono::milliseconds length)
{
    constexpr series all[] = {
        {fault_kind::move_queues, 2'000, 6'000, 0, 0},
        {fault_kind::instance_link_silent, 1'500, 4'000, 4'500, 7'000}};
    constexpr std::uint64_t move_stream = 0x6d6f766573000000;
    return series_of(seed ^ move_stream, length, all);
}

} // namespace berylhill::soak
