#include <cell/configuration_propagation.hpp>

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
    /// Time since the store last answered.
    milliseconds unread;
    /// Time since a newer version was first heard of.
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
    {"a newer one, and the store is unavailable", milliseconds{5'000},
     milliseconds{0}, 8, true},
    {"a newer one that this process will read itself", milliseconds{50},
     milliseconds{0}, 8, false},
    {"a newer one that this process should have read by now", milliseconds{50},
     milliseconds{300}, 8, true},
};

} // namespace

BOOST_AUTO_TEST_SUITE(configuration_propagation)

/// Guards against a process that serves a removed key for as long as it cannot
/// read the store, because no other process tells it of the newer version.
BOOST_DATA_TEST_CASE(process_with_an_older_version_fetches,
                     boost::unit_test::data::make(cases))
{
    cell::configuration_propagation it;
    base::instant now{std::chrono::seconds{100}};
    it.on_store_read(now);
    now += sample.unread;
    if (sample.known_for.count() > 0)
    {
        BOOST_TEST(!it.on_version_heard(sample.theirs, own, now));
        now += sample.known_for;
    }
    BOOST_TEST(it.on_version_heard(sample.theirs, own, now) == sample.fetches);
    // Only one fetch at a time.
    BOOST_TEST(!it.on_version_heard(sample.theirs, own, now));
    it.on_fetch_ended(cell::fetch_outcome::received);
    BOOST_TEST(it.on_version_heard(sample.theirs, own, now) == sample.fetches);
}

/// A process that never read the store has no confirmed version. If another
/// process reports the same version, its confirmation is as old as that
/// process's.
BOOST_AUTO_TEST_CASE(confirmation_is_as_old_as_reported)
{
    cell::configuration_propagation it;
    base::instant const now{std::chrono::seconds{100}};
    BOOST_TEST((it.age(now) > std::chrono::minutes{1}));
    BOOST_TEST(!it.on_version_heard({own, milliseconds{400}}, now, own, now));
    BOOST_TEST((it.age(now) == milliseconds{400}));
    BOOST_TEST(!it.on_version_heard({own, milliseconds{900}}, now, own, now));
    BOOST_TEST((it.age(now) == milliseconds{400}));
}

/// Guards against two processes without the store that confirm each other's
/// version as newer and newer, because the transit time of answers was not
/// counted.
BOOST_AUTO_TEST_CASE(age_does_not_shrink_between_processes)
{
    constexpr milliseconds under_way{300};
    cell::configuration_propagation one;
    cell::configuration_propagation other;
    base::instant const read_at{std::chrono::seconds{100}};
    base::instant now = read_at;
    one.on_store_read(read_at);
    for (int n = 0; n < 20; ++n)
    {
        auto const asked_at = now;
        auto const answer = cell::configuration_age{own, one.age(now)};
        now += under_way;
        BOOST_TEST(!other.on_version_heard(answer, asked_at, own, now));
        BOOST_TEST((other.age(now) >= now - read_at));
        std::swap(one, other);
    }
}

/// Guards against a read of the store that ends before a newer version and
/// resets the time since that version was heard of, so that it is never
/// fetched.
BOOST_AUTO_TEST_CASE(newer_version_is_not_forgotten_after_a_read)
{
    cell::configuration_propagation it;
    base::instant now{std::chrono::seconds{100}};
    it.on_store_read(now);
    BOOST_TEST(!it.on_version_heard(own + 1, own, now));
    now += milliseconds{250};
    it.on_store_read(now);
    BOOST_TEST((it.behind(now) == milliseconds{250}));
    BOOST_TEST(it.on_version_heard(own + 1, own, now));
    it.on_version_installed(own + 1);
    BOOST_TEST((it.behind(now) == milliseconds{0}));
}

/// Guards against a copy that always takes longer to begin than the timeout of
/// a fetch.
BOOST_AUTO_TEST_CASE(failed_fetch_doubles_the_timeout)
{
    cell::configuration_propagation it;
    auto const first = it.fetch_timeout();
    it.on_fetch_ended(cell::fetch_outcome::failed);
    BOOST_TEST((it.fetch_timeout() == 2 * first));
    it.on_fetch_ended(cell::fetch_outcome::rejected);
    BOOST_TEST((it.fetch_timeout() == 2 * first));
    it.on_fetch_ended(cell::fetch_outcome::received);
    BOOST_TEST((it.fetch_timeout() == first));
}

BOOST_AUTO_TEST_SUITE_END()
