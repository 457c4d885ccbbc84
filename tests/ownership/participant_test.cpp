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

/// A cell in which every unit has an active owner.
simulated_cell settled_cell(simulated_cell::settings of = {})
{
    simulated_cell it{of};
    it.run(10s);
    BOOST_REQUIRE(it.active_units() == it.units().size());
    it.reset_gaps();
    return it;
}

} // namespace

BOOST_AUTO_TEST_SUITE(participants)

BOOST_AUTO_TEST_CASE(units_are_spread_over_instances)
{
    auto const it = settled_cell();
    for (std::size_t i = 0; i < it.size(); ++i)
    {
        auto const n = it.active_units_of(i).size();
        BOOST_TEST(n > 0U);
        BOOST_TEST(n <= max_units_per_process(64, 9, 1.25));
    }
    BOOST_TEST(it.conflicts() == 0U);
}

// After an entry crashes, no task is placed in its groups and shards until
// another entry owns them. Guards against a slow takeover.
BOOST_AUTO_TEST_CASE(crashed_entry_is_taken_over_within_seconds)
{
    auto it = settled_cell();
    std::vector<double> gaps;
    for (std::size_t n = 0; n < 30; ++n)
    {
        auto const i = n % it.size();
        it.reset_gaps();
        it.kill(i);
        it.run(8s + 37ms * static_cast<std::int64_t>(n));
        BOOST_TEST(it.active_units() == it.units().size());
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

// In a cell of many instances, no process receives heartbeats from all others.
// A crash has to be detected by the watchers and reported to the rest.
BOOST_AUTO_TEST_CASE(crash_is_detected_by_watchers)
{
    auto it = settled_cell({.instances = 24, .zones = 4, .units = 72});
    BOOST_TEST(it.at(3).heartbeat_targets().size() == 8U);
    it.kill(3);
    it.run(8s);
    BOOST_TEST(it.active_units() == it.units().size());
    BOOST_TEST_MESSAGE(
        "takeover with watchers_s=" << base::seconds_of(it.longest_gap()));
    BOOST_TEST(base::seconds_of(it.longest_gap()) <= 5);
    BOOST_TEST(it.conflicts() == 0U);
}

// A watcher that is partitioned from the processes it watches reports missing
// heartbeats. Its report alone must not move their units.
BOOST_AUTO_TEST_CASE(suspicion_by_one_watcher_is_not_enough)
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

// An entry is partitioned from the others but reaches the log. If it suspected
// all of them and claimed every unit, the whole cell would be idle until the
// claims are active.
BOOST_AUTO_TEST_CASE(isolated_process_claims_nothing)
{
    auto it = settled_cell();
    it.partition(0, true);
    auto const lost = it.active_units_of(0);
    it.run(1min);
    BOOST_TEST(it.active_units_of(0).empty());
    BOOST_TEST(it.active_units() == it.units().size());
    // Its units are taken over once. Some other units are moved, but none is
    // idle.
    BOOST_TEST(base::seconds_of(it.longest_gap()) <= 5);
    BOOST_TEST(it.units_with_gap(1s) == lost.size());
    it.partition(0, false);
    it.run(10s);
    BOOST_TEST(it.active_units() == it.units().size());
    BOOST_TEST(it.conflicts() == 0U);
}

// Most instances crash at once. The rest receive heartbeats from less than half
// of the cell, as in a network partition. No other process claims their units,
// which shows that they are not partitioned, so they have to take over.
BOOST_AUTO_TEST_CASE(loss_of_most_instances_is_taken_over)
{
    auto it = settled_cell({.instances = 5, .units = 20});
    it.kill(0);
    it.kill(1);
    it.kill(2);
    it.run(8s);
    BOOST_TEST(it.active_units() == it.units().size());
    BOOST_TEST(it.conflicts() == 0U);
}

// In a planned stop each unit has to get its next owner before the old one
// leaves, so that calls and jobs are not interrupted.
BOOST_AUTO_TEST_CASE(planned_stop_leaves_no_gap)
{
    auto it = settled_cell();
    it.stop(4);
    it.run(1s);
    BOOST_TEST(it.at(4).stopped());
    BOOST_TEST(it.active_units() == it.units().size());
    BOOST_TEST_MESSAGE(
        "hand-over gap_s=" << base::seconds_of(it.longest_gap()));
    BOOST_TEST(base::seconds_of(it.longest_gap()) < 0.2);
    BOOST_TEST(it.conflicts() == 0U);
}

// The platform's log is unavailable for ten minutes. Leases last seconds, so
// without vouches the cell would be idle although every entry runs.
BOOST_AUTO_TEST_CASE(log_outage_stops_no_unit)
{
    auto it = settled_cell({.instances = 5, .units = 20});
    it.set_log_available(false);
    it.run(10min);
    BOOST_TEST(it.longest_gap() == base::duration{});
    it.set_log_available(true);
    it.run(10s);
    BOOST_TEST(it.longest_gap() == base::duration{});
    BOOST_TEST(it.conflicts() == 0U);
}

// An entry crashes while the log is unavailable. Its units stay idle until the
// log is back. The units of the others must not become idle permanently because
// the crashed entry cannot vouch.
BOOST_AUTO_TEST_CASE(crash_in_log_outage_stops_only_its_units)
{
    auto it = settled_cell({.instances = 5, .units = 20});
    auto const lost = it.active_units_of(2).size();
    it.set_log_available(false);
    it.run(10s);
    it.kill(2);
    it.run(30s);
    BOOST_TEST(it.active_units() == it.units().size() - lost);
    it.set_log_available(true);
    it.run(8s);
    BOOST_TEST(it.active_units() == it.units().size());
    BOOST_TEST(it.conflicts() == 0U);
}

// An entry restarts while the log is unavailable. The new process has not read
// the log, but it vouches for its instance, so the others keep their leases.
BOOST_AUTO_TEST_CASE(restart_in_log_outage_stops_only_its_units)
{
    auto it = settled_cell({.instances = 5, .units = 20});
    auto const lost = it.active_units_of(2).size();
    it.set_log_available(false);
    it.run(10s);
    it.kill(2);
    it.restart(2);
    it.run(20s);
    BOOST_TEST(it.active_units() == it.units().size() - lost);
    BOOST_TEST(it.conflicts() == 0U);
}

// An entry is paused (SIGSTOP) and resumed. It has not been informed that
// others own its units now, and must detect that its lease has expired.
BOOST_AUTO_TEST_CASE(resumed_owner_finds_its_lease_expired)
{
    auto it = settled_cell({.instances = 3, .units = 9});
    auto const units = it.active_units_of(0);
    BOOST_REQUIRE(!units.empty());
    it.pause(0, true);
    it.run(10s);
    // Checked when the entry resumes, before it receives anything.
    BOOST_TEST(!it.at(0).active_epoch(units.front(), it.now()).has_value());
    it.pause(0, false);
    it.run(5s);
    BOOST_TEST(it.active_units() == it.units().size());
    BOOST_TEST(it.conflicts() == 0U);
}

// All entries are restarted one after another, as in an upgrade.
BOOST_AUTO_TEST_CASE(rolling_restart_keeps_every_unit_owned)
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
    BOOST_TEST(it.active_units() == it.units().size());
    BOOST_TEST(base::seconds_of(it.longest_gap()) < 0.2);
    BOOST_TEST(it.conflicts() == 0U);
}

// All entries restart at the same time, as after a power failure.
BOOST_AUTO_TEST_CASE(simultaneous_restart_of_all_recovers)
{
    auto it = settled_cell({.instances = 5, .units = 20});
    for (std::size_t i = 0; i < it.size(); ++i)
    {
        it.kill(i);
        it.restart(i);
    }
    it.run(8s);
    BOOST_TEST(it.active_units() == it.units().size());
    BOOST_TEST(it.conflicts() == 0U);
}

// An added instance gets a share of the units, few at a time, so that instances
// that come and go cause few moves.
BOOST_AUTO_TEST_CASE(added_instance_gets_its_share_gradually)
{
    auto it = settled_cell({.instances = 4, .units = 40});
    it.kill(3);
    it.run(30s);
    it.restart(3);
    it.run(4s);
    auto const early = it.active_units_of(3).size();
    BOOST_TEST(early <= 6U);
    it.run(60s);
    BOOST_TEST(it.active_units_of(3).size() >= 8U);
    BOOST_TEST(it.conflicts() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
