#include <soak/plan.hpp>

#include <algorithm>
#include <array>
#include <random>

namespace berylhill::soak
{

std::string name_of(fault_kind it)
{
    static constexpr char const* names[fault_kinds + order_fault_kinds] = {
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
    };
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

} // namespace berylhill::soak
