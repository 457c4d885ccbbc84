#include "scheduler_fixture.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace berylhill;
using namespace berylhill::scheduler_test;
using scheduler::submission;
using scheduler::work_room;

namespace
{

constexpr std::size_t attempt = work_room::bytes_per_attempt;
constexpr std::size_t limit = 10'000 * attempt;

struct room_case
{
    char const* name;
    std::size_t jobs;
    std::size_t attempts;
    std::size_t wanted;
    bool accepted;
    bool opened;
    std::size_t more_attempts;
};

std::ostream& operator<<(std::ostream& to, room_case const& it)
{
    return to << it.name;
}

room_case const room_cases[] = {
    {"nothing yet", 0, 0, 1, true, true, 10'000},
    {"half of it", limit / 2, 0, 1, true, false, 5'000},
    {"three quarters", limit / 4 * 3, 0, 1, false, false, 2'500},
    {"attempts count", 0, 7'500, 1, false, false, 2'500},
    {"a large job", 0, 0, limit, false, false, 10'000},
    {"all of it, nothing runs", 2 * limit, 0, 1, false, false, 1'000},
    {"all of it, much runs", limit, 5'000, 1, false, false, 0},
};

/// Room for some jobs.
scheduler::policy small_room()
{
    auto out = scheduler_fixture::rules();
    out.max_work_bytes = std::size_t{64} * 1'024;
    return out;
}

constexpr std::uint64_t many = 200;

struct small_cell : scheduler_fixture
{
    small_cell()
        : scheduler_fixture{{}, small_room()}
    {
    }

    /// Submits jobs until one is refused, and stores them; the next id.
    std::uint64_t fill()
    {
        std::uint64_t id = 1;
        while (id < many &&
               decisions.submit(job(id, 1), 0, now) == submission::accepted)
        {
            ++id;
        }
        (void)store();
        return id;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(accepted_work_room)

BOOST_DATA_TEST_CASE(work_takes_no_more_than_its_room,
                     boost::unit_test::data::make(room_cases))
{
    work_room const it{limit, sample.jobs, sample.attempts};
    BOOST_TEST(it.accepts(sample.wanted) == sample.accepted);
    BOOST_TEST(it.opens(sample.wanted) == sample.opened);
    BOOST_TEST(it.attempts() == sample.more_attempts);
}

/// Guards against an owner that runs out of memory over what it accepts.
BOOST_FIXTURE_TEST_CASE(work_beyond_the_room_is_refused, small_cell)
{
    auto const refused = fill();
    BOOST_TEST(refused > 1U);
    BOOST_REQUIRE(refused < many);
    BOOST_TEST(decisions.counts().refused_for_room == 1U);
    BOOST_TEST(!decisions.phase_of({refused}).has_value());
}

/// Guards against a client that is told that its job never runs, and it does:
/// the job was accepted before.
BOOST_FIXTURE_TEST_CASE(a_known_job_is_not_refused, small_cell)
{
    auto const refused = fill();
    BOOST_TEST(
        (decisions.submit(job(1, 1), 0, now) == submission::already_stored));
    BOOST_TEST(
        (decisions.submit(job(refused, 1), 0, now) == submission::no_room));
}

/// Guards against a successor that accepts more than the one before, and so
/// does each after it.
BOOST_FIXTURE_TEST_CASE(a_successor_has_the_same_room, small_cell)
{
    auto const refused = fill();
    small_cell next;
    next.decisions.restore(records, 0, now);
    BOOST_TEST((next.decisions.submit(job(refused, 1), 0, now) ==
                submission::no_room));
}

/// Guards against a cell that refuses all work for good.
BOOST_FIXTURE_TEST_CASE(cancelled_and_forgotten_work_makes_room, small_cell)
{
    auto const refused = fill();
    for (std::uint64_t id = 1; id < refused; ++id)
    {
        (void)decisions.cancel({id}, {}, now);
    }
    (void)store();
    now += std::chrono::minutes{10};
    decisions.tick(0, now);
    BOOST_TEST(
        (decisions.submit(job(refused, 1), 0, now) == submission::accepted));
}

BOOST_AUTO_TEST_SUITE_END()
