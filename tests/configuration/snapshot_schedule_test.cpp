#include <configuration/snapshot_schedule.hpp>

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace berylhill;
using configuration::snapshot_schedule;

BOOST_AUTO_TEST_SUITE(snapshots)

namespace
{

constexpr base::duration s_period = std::chrono::seconds{600};
constexpr base::duration s_tick = std::chrono::seconds{1};

/// Instances that read what any of them writes a second later.
struct cell
{
    std::vector<snapshot_schedule> instances;
    std::vector<bool> alive;
    base::instant now{};
    base::instant last_written{};
    int written{0};

    explicit cell(std::size_t size)
        : instances(size, snapshot_schedule{s_period, base::instant{}})
        , alive(size, true)
    {
    }

    void tick()
    {
        now += s_tick;
        std::size_t rank = 0;
        auto wrote = false;
        for (std::size_t i = 0; i < instances.size(); ++i)
        {
            if (alive[i])
            {
                wrote = instances[i].due(now, rank) || wrote;
                ++rank;
            }
        }
        if (!wrote)
        {
            return;
        }
        ++written;
        last_written = now;
        for (auto& it : instances)
        {
            it.seen(now + s_tick);
        }
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(one_instance_writes_and_the_others_hold_back)
{
    cell all{9};
    for (int i = 0; i < 6'000; ++i)
    {
        all.tick();
        BOOST_REQUIRE((all.now - all.last_written <= s_period));
    }
    BOOST_TEST(all.written <= 21);
}

// The instance that writes is killed again and again, and its place in the
// order is taken by another each time.
BOOST_AUTO_TEST_CASE(a_dead_writer_is_stood_in_for)
{
    cell all{5};
    for (int i = 0; i < 3'000; ++i)
    {
        all.alive.assign(5, true);
        all.alive[static_cast<std::size_t>(i / 100) % 5] = false;
        all.tick();
        BOOST_REQUIRE((all.now - all.last_written <= s_period));
    }
}

// Operators restart all instances every two minutes. Each new process knows
// nothing of the last snapshot's age.
BOOST_AUTO_TEST_CASE(restarts_do_not_put_snapshots_off_for_ever)
{
    int written = 0;
    for (int restart = 0; restart < 10; ++restart)
    {
        cell all{5};
        for (int i = 0; i < 120; ++i)
        {
            all.tick();
        }
        written += all.written;
    }
    BOOST_TEST(written == 10);
}

// The log is down: what was written is not read back.
BOOST_AUTO_TEST_CASE(a_log_that_is_down_does_not_get_one_a_tick)
{
    snapshot_schedule it{s_period, base::instant{}};
    int wanted = 0;
    for (int i = 0; i < 600; ++i)
    {
        wanted += it.due(base::instant{} + i * s_tick, 0) ? 1 : 0;
    }
    BOOST_TEST(wanted == 9);
}

BOOST_AUTO_TEST_SUITE_END()
