#include <cell_replay/replay.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>

using namespace berylhill;

namespace
{

struct load_case
{
    char const* file;
    std::uint64_t seed;
};

std::ostream& operator<<(std::ostream& to, load_case const& it)
{
    return to << it.file << " seed " << it.seed;
}

load_case const loads[] = {
    {"large", 1},
    {"large", 2},
    {"few-askers", 1},
    {"small", 1},
};

cell_replay::cell_load read(char const* name)
{
    return cell_replay::read_cell_load(std::string{BERYLHILL_LOADS} + '/' +
                                       name + ".json");
}

double share(double part, double whole)
{
    return whole > 0 ? part / whole : 1;
}

} // namespace

BOOST_AUTO_TEST_SUITE(loads_replayed)

/// Users with the largest reports get them a third as often as the others:
/// wide gangs know a few dozen of the instances that they may use, and wait
/// among those for room that others have. The largest tenth of each kind of
/// job is to be served at least half as often as the kind as a whole.
BOOST_DATA_TEST_CASE(the_largest_jobs_are_not_left_behind,
                     boost::unit_test::data::make(loads))
{
    constexpr double least_share = 0.5;
    auto const load = read(sample.file);
    auto const jobs = cell_replay::draw_jobs(load, sample.seed);
    auto const figures = cell_replay::replay{load, jobs}.run();
    for (auto const& [name, it] : figures.kinds)
    {
        auto const all = share(it.earned, it.owed);
        auto const largest = share(it.largest_earned, it.largest_owed);
        BOOST_TEST_MESSAGE(sample << ' ' << name << " all=" << all
                                  << " largest=" << largest);
        BOOST_TEST(largest >= least_share * all);
    }
}

/// The same jobs whatever is decided about them, or policies could not be
/// compared.
BOOST_AUTO_TEST_CASE(a_seed_draws_the_same_jobs)
{
    auto const load = read("small");
    BOOST_TEST(
        (cell_replay::draw_jobs(load, 7) == cell_replay::draw_jobs(load, 7)));
    BOOST_TEST(
        (cell_replay::draw_jobs(load, 7) != cell_replay::draw_jobs(load, 8)));
}

BOOST_AUTO_TEST_SUITE_END()
