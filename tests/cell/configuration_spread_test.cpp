#include <cell/configuration_spread.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace berylhill;
using std::chrono::milliseconds;

namespace
{

constexpr std::int64_t own = 7;

struct heard_case
{
    char const* name;
    /// Since the store last answered.
    milliseconds unread;
    /// Since a newer version was first heard of.
    milliseconds known_for;
    std::int64_t theirs;
    bool fetches;
};

std::ostream& operator<<(std::ostream& to, heard_case const& it)
{
    return to << it.name;
}

heard_case const cases[] = {
    {"the same version", milliseconds{5'000}, milliseconds{0}, own, false},
    {"an older version", milliseconds{5'000}, milliseconds{0}, 6, false},
    {"a newer one, and the store turns this process away", milliseconds{5'000},
     milliseconds{0}, 8, true},
    {"a newer one that it will read itself", milliseconds{50}, milliseconds{0},
     8, false},
    {"a newer one that it should have read by now", milliseconds{50},
     milliseconds{300}, 8, true},
};

} // namespace

BOOST_AUTO_TEST_SUITE(configuration_spread)

/// A key that was taken away is served for as long as the store turns a
/// process away: nobody else told it of the newer version.
BOOST_DATA_TEST_CASE(a_process_that_is_behind_fetches,
                     boost::unit_test::data::make(cases))
{
    cell::configuration_spread it;
    base::instant now{std::chrono::seconds{100}};
    it.read_store(now);
    now += sample.unread;
    if (sample.known_for.count() > 0)
    {
        BOOST_TEST(!it.heard({sample.theirs, {}}, own, now));
        now += sample.known_for;
    }
    BOOST_TEST(it.heard({sample.theirs, {}}, own, now) == sample.fetches);
    // One at a time.
    BOOST_TEST(!it.heard({sample.theirs, {}}, own, now));
    it.fetched();
    BOOST_TEST(it.heard({sample.theirs, {}}, own, now) == sample.fetches);
}

/// A process that never read the store knows nothing, and one that hears from
/// another that its version is the newest knows as much as that one.
BOOST_AUTO_TEST_CASE(what_another_confirms_is_as_new_as_it_says)
{
    cell::configuration_spread it;
    base::instant const now{std::chrono::seconds{100}};
    BOOST_TEST((it.age(now) > std::chrono::minutes{1}));
    BOOST_TEST(!it.heard({own, milliseconds{400}}, own, now));
    BOOST_TEST((it.age(now) == milliseconds{400}));
    BOOST_TEST(!it.heard({own, milliseconds{900}}, own, now));
    BOOST_TEST((it.age(now) == milliseconds{400}));
}

BOOST_AUTO_TEST_SUITE_END()
