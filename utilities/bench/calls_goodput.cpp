#include "calls_ours.hpp"
#include "calls_round_robin.hpp"
#include "figures.hpp"

#include <algorithm>
#include <array>
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

void run_all()
{
    constexpr std::array kinds{std::pair{badness::refusing, "refusing"},
                               std::pair{badness::slow, "slow"},
                               std::pair{badness::silent, "silent"}};
    for (auto const& [kind, kind_name] : kinds)
    {
        for (auto const load : {0.5, 1.0, 1.5, 2.0, 3.0})
        {
            std::array<char, 64> buf{};
            std::snprintf(buf.data(), buf.size(), "calls.%s.load_%.1f.",
                          kind_name, load);
            std::string const name = buf.data();
            ours our_way{load, kind, 11};
            auto const our_tally = our_way.run();
            print(name + "ours", our_tally, our_way.most_open());
            round_robin plain{load, kind, 11};
            auto const plain_tally = plain.run();
            print(name + "round_robin", plain_tally, plain.most_open());
        }
    }
}

group_of_figures const s_group{"calls_goodput", run_all};

} // namespace

} // namespace berylhill::bench
