#include "simulated_cell.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace berylhill;
using namespace berylhill::ownership;
using namespace std::chrono_literals;

namespace
{

/// A cell that has settled.
simulated_cell settled_cell(simulated_cell::settings of = {})
{
    simulated_cell it{of};
    it.run(10s);
    BOOST_REQUIRE(it.acted_on() == it.units().size());
    it.reset_gaps();
    return it;
}

} // namespace

BOOST_AUTO_TEST_SUITE(tenures)

BOOST_AUTO_TEST_CASE(units_are_spread_over_instances)
{
    auto const it = settled_cell();
    for (std::size_t i = 0; i < it.size(); ++i)
    {
        auto const n = it.acted_on_by(i).size();
        BOOST_TEST(n > 0U);
        BOOST_TEST(n <= max_units_per_process(64, 9, 1.25));
    }
    BOOST_TEST(it.conflicts() == 0U);
}

// An entry dies with its racks and job shards. Nothing new is placed there
// until another owns them; customers notice after some seconds.
BOOST_AUTO_TEST_CASE(a_crash_is_taken_over_in_seconds)
{
    auto it = settled_cell();
    std::vector<double> gaps;
    for (std::size_t n = 0; n < 30; ++n)
    {
        auto const i = n % it.size();
        it.reset_gaps();
        it.kill(i);
        it.run(8s + 37ms * static_cast<std::int64_t>(n));
        BOOST_TEST(it.acted_on() == it.units().size());
        gaps.push_back(base::seconds_of(it.longest_gap()));
        it.restart(i);
        it.run(12s);
    }
    std::sort(gaps.begin(), gaps.end());
    BOOST_TEST_MESSAGE("takeover median_s=" << gaps[15]
                                            << " worst_s=" << gaps.back());
    BOOST_TEST(gaps[15] <= 5);
    BOOST_TEST(gaps.back() <= 8);
    BOOST_TEST(it.conflicts() == 0U);
}

// A cell of many instances, where none hears all the others: a crash has to be
// noticed by its watchers and told to the rest.
BOOST_AUTO_TEST_CASE(a_crash_is_noticed_by_watchers)
{
    auto it = settled_cell({.instances = 24, .zones = 4, .units = 72});
    BOOST_TEST(it.at(3).heartbeat_targets().size() == 8U);
    it.kill(3);
    it.run(8s);
    BOOST_TEST(it.acted_on() == it.units().size());
    BOOST_TEST_MESSAGE(
        "takeover with watchers_s=" << base::seconds_of(it.longest_gap()));
    BOOST_TEST(base::seconds_of(it.longest_gap()) <= 5);
    BOOST_TEST(it.conflicts() == 0U);
}

// A watcher is cut off from those that it watches and calls them all dead. Its
// word alone must not move their units.
BOOST_AUTO_TEST_CASE(one_watchers_word_is_not_enough)
{
    auto it = settled_cell({.instances = 24, .zones = 4, .units = 72});
    auto const watcher = it.at(0).own_heartbeat().incarnation;
    for (int n = 0; n < 20; ++n)
    {
        for (std::size_t i = 1; i < it.size(); ++i)
        {
            (void)it.at(i).on_suspicion(
                {watcher, it.at(5).own_heartbeat().incarnation}, it.now());
        }
        it.run(250ms);
    }
    BOOST_TEST(it.longest_gap() == base::duration{});
}

// Something between an entry and the others has lost its connections, but it
// reaches the log. It hears nobody, takes all for dead and claims every rack
// and shard: the whole cell stands still until the claims are active.
BOOST_AUTO_TEST_CASE(an_isolated_process_takes_nothing)
{
    auto it = settled_cell();
    it.cut(0, true);
    auto const lost = it.acted_on_by(0);
    it.run(1min);
    BOOST_TEST(it.acted_on_by(0).empty());
    BOOST_TEST(it.acted_on() == it.units().size());
    // One takeover of its units; of the others, some are moved, none stood
    // still.
    BOOST_TEST(base::seconds_of(it.longest_gap()) <= 5);
    BOOST_TEST(it.units_with_gap(1s) == lost.size());
    it.cut(0, false);
    it.run(10s);
    BOOST_TEST(it.acted_on() == it.units().size());
    BOOST_TEST(it.conflicts() == 0U);
}

// Most instances die at once. The rest hear less than half of the cell, as if
// they were cut off, but nobody claims their units, so they go on.
BOOST_AUTO_TEST_CASE(the_loss_of_most_is_taken_over)
{
    auto it = settled_cell({.instances = 5, .units = 20});
    it.kill(0);
    it.kill(1);
    it.kill(2);
    it.run(8s);
    BOOST_TEST(it.acted_on() == it.units().size());
    BOOST_TEST(it.conflicts() == 0U);
}

// An operator announces that an instance will be replaced. Calls and jobs must
// not notice: each unit has its next owner before the old one is gone.
BOOST_AUTO_TEST_CASE(a_planned_stop_leaves_no_gap)
{
    auto it = settled_cell();
    it.stop(4);
    it.run(1s);
    BOOST_TEST(it.at(4).stopped());
    BOOST_TEST(it.acted_on() == it.units().size());
    BOOST_TEST_MESSAGE(
        "hand-over gap_s=" << base::seconds_of(it.longest_gap()));
    BOOST_TEST(base::seconds_of(it.longest_gap()) < 0.2);
    BOOST_TEST(it.conflicts() == 0U);
}

// The platform's log is down for ten minutes. Rights run out after seconds, so
// the cell would stand still although every entry is well.
BOOST_AUTO_TEST_CASE(a_log_outage_stops_nothing)
{
    auto it = settled_cell({.instances = 5, .units = 20});
    it.set_log(false);
    it.run(10min);
    BOOST_TEST(it.longest_gap() == base::duration{});
    it.set_log(true);
    it.run(10s);
    BOOST_TEST(it.longest_gap() == base::duration{});
    BOOST_TEST(it.conflicts() == 0U);
}

// An entry dies while the log is down. Its own units wait for the log; the
// others must not stand still for ever because it can no longer vouch.
BOOST_AUTO_TEST_CASE(a_death_in_an_outage_stops_only_its_units)
{
    auto it = settled_cell({.instances = 5, .units = 20});
    auto const lost = it.acted_on_by(2).size();
    it.set_log(false);
    it.run(10s);
    it.kill(2);
    it.run(30s);
    BOOST_TEST(it.acted_on() == it.units().size() - lost);
    it.set_log(true);
    it.run(8s);
    BOOST_TEST(it.acted_on() == it.units().size());
    BOOST_TEST(it.conflicts() == 0U);
}

// An entry restarts while the log is down. The new process knows nothing, but
// it answers for its instance, and the others go on.
BOOST_AUTO_TEST_CASE(a_restart_in_an_outage_stops_only_its_units)
{
    auto it = settled_cell({.instances = 5, .units = 20});
    auto const lost = it.acted_on_by(2).size();
    it.set_log(false);
    it.run(10s);
    it.kill(2);
    it.restart(2);
    it.run(20s);
    BOOST_TEST(it.acted_on() == it.units().size() - lost);
    BOOST_TEST(it.conflicts() == 0U);
}

// The machine stops an entry for a while (SIGSTOP) and lets it go on. It
// believes that nothing has happened, and others own its units meanwhile.
BOOST_AUTO_TEST_CASE(a_paused_owner_finds_its_right_gone)
{
    auto it = settled_cell({.instances = 3, .units = 9});
    auto const units = it.acted_on_by(0);
    BOOST_REQUIRE(!units.empty());
    it.pause(0, true);
    it.run(10s);
    // Asked at the very moment it goes on, before it hears of anything.
    BOOST_TEST(!it.at(0).active_epoch(units.front(), it.now()).has_value());
    it.pause(0, false);
    it.run(5s);
    BOOST_TEST(it.acted_on() == it.units().size());
    BOOST_TEST(it.conflicts() == 0U);
}

// All entries are restarted one after another, as for a new version.
BOOST_AUTO_TEST_CASE(a_rolling_restart_keeps_every_unit_owned)
{
    auto it = settled_cell({.instances = 5, .units = 20});
    for (std::size_t i = 0; i < it.size(); ++i)
    {
        it.stop(i);
        it.run(2s);
        BOOST_TEST(it.at(i).stopped());
        it.kill(i);
        it.restart(i);
        it.run(10s);
    }
    BOOST_TEST(it.acted_on() == it.units().size());
    BOOST_TEST(base::seconds_of(it.longest_gap()) < 0.2);
    BOOST_TEST(it.conflicts() == 0U);
}

// All entries are restarted at the same moment, as after a power cut.
BOOST_AUTO_TEST_CASE(a_restart_of_all_recovers)
{
    auto it = settled_cell({.instances = 5, .units = 20});
    for (std::size_t i = 0; i < it.size(); ++i)
    {
        it.kill(i);
        it.restart(i);
    }
    it.run(8s);
    BOOST_TEST(it.acted_on() == it.units().size());
    BOOST_TEST(it.conflicts() == 0U);
}

// An instance is added. It gets units, few at a time, and the others keep the
// rest: a cell whose instances come and go is not shuffled.
BOOST_AUTO_TEST_CASE(a_joiner_gets_a_share_slowly)
{
    auto it = settled_cell({.instances = 4, .units = 40});
    it.kill(3);
    it.run(30s);
    it.restart(3);
    it.run(4s);
    auto const early = it.acted_on_by(3).size();
    BOOST_TEST(early <= 6U);
    it.run(60s);
    BOOST_TEST(it.acted_on_by(3).size() >= 8U);
    BOOST_TEST(it.conflicts() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
