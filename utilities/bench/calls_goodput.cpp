#include "calls_ours.hpp"
#include "calls_round_robin.hpp"
#include "figures.hpp"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <string>
#include <utility>

/// Goodput of calls from half to three times the capacity with a tenth of the
/// minions bad, ours against round robin with plain retries. Capacity is that
/// of the good minions.
namespace berylhill::bench
{

namespace
{

constexpr std::uint64_t s_seed = 11;

void print(std::string const& name, tally const& it, int most_open)
{
    auto const n = static_cast<double>(it.offered);
    auto const span = base::seconds_of(s_measured);
    auto const in_time = static_cast<double>(it.in_time);
    print_figure(name + ".goodput",
                 100 * in_time / std::min(n, s_capacity * span),
                 "percent_of_possible");
    // The slot is also taken while the call and its answer travel.
    auto const held = s_run_s + 2 * base::seconds_of(s_hop);
    auto const reachable = s_capacity * s_run_s / held;
    print_figure(name + ".goodput_reachable",
                 100 * in_time / std::min(n, reachable * span),
                 "percent_of_reachable");
    print_figure(name + ".attempts", static_cast<double>(it.attempts) / n,
                 "a_call");
    print_figure(name + ".minion_sends", static_cast<double>(it.sends) / n,
                 "a_call");
    print_figure(name + ".given_up_after",
                 it.refused == 0
                     ? 0
                     : 1'000 * it.given_up_s / static_cast<double>(it.refused),
                 "ms_mean");
    print_figure(name + ".most_at_a_minion", most_open, "calls");
}

constexpr std::array s_kinds{std::pair{badness::refusing, "refusing"},
                             std::pair{badness::slow, "slow"},
                             std::pair{badness::silent, "silent"}};

void run_one(std::size_t kind, double load, base::duration allowed)
{
    std::array<char, 96> buf{};
    std::snprintf(buf.data(), buf.size(), "calls.%s.within_%.0f_ms.load_%.1f.",
                  s_kinds[kind].second, 1'000 * base::seconds_of(allowed),
                  load);
    std::string const name = buf.data();
    ours our_way{load, s_kinds[kind].first, allowed, s_seed};
    auto const our_tally = our_way.run();
    print(name + "ours", our_tally, our_way.most_open());
    round_robin plain{load, s_kinds[kind].first, allowed, s_seed};
    auto const plain_tally = plain.run();
    print(name + "round_robin", plain_tally, plain.most_open());
}

void run_all()
{
    for (std::size_t kind = 0; kind < s_kinds.size(); ++kind)
    {
        for (auto const load : {0.5, 1.0, 1.5, 2.0, 3.0})
        {
            run_one(kind, load, milliseconds{250});
        }
        // Little more than a call takes.
        for (auto const tight : {60, 100})
        {
            run_one(kind, 1, milliseconds{tight});
            run_one(kind, 3, milliseconds{tight});
        }
    }
}

group_of_figures const s_group{"calls_goodput", run_all};

} // namespace

} // namespace berylhill::bench
