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
    it.on_store_read(now);
    now += sample.unread;
    if (sample.known_for.count() > 0)
    {
        BOOST_TEST(!it.on_version_heard(sample.theirs, own, now));
        now += sample.known_for;
    }
    BOOST_TEST(it.on_version_heard(sample.theirs, own, now) == sample.fetches);
    // One at a time.
    BOOST_TEST(!it.on_version_heard(sample.theirs, own, now));
    it.on_fetch_ended(cell::fetch_end::received);
    BOOST_TEST(it.on_version_heard(sample.theirs, own, now) == sample.fetches);
}

/// A process that never read the store knows nothing, and one that hears from
/// another that its version is the newest knows as much as that one.
BOOST_AUTO_TEST_CASE(what_another_confirms_is_as_new_as_it_says)
{
    cell::configuration_spread it;
    base::instant const now{std::chrono::seconds{100}};
    BOOST_TEST((it.age(now) > std::chrono::minutes{1}));
    BOOST_TEST(!it.on_version_heard({own, milliseconds{400}}, now, own, now));
    BOOST_TEST((it.age(now) == milliseconds{400}));
    BOOST_TEST(!it.on_version_heard({own, milliseconds{900}}, now, own, now));
    BOOST_TEST((it.age(now) == milliseconds{400}));
}

/// Two processes that the store turns away keep telling each other that their
/// version is the newest: the time that an answer was under way was not
/// counted, so it was younger with each.
BOOST_AUTO_TEST_CASE(a_version_does_not_grow_younger_between_processes)
{
    constexpr milliseconds under_way{300};
    cell::configuration_spread one;
    cell::configuration_spread other;
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

/// A process that asks others for a newer version is told by each read of its
/// own, short of that version, to wait for itself.
BOOST_AUTO_TEST_CASE(a_newer_version_is_not_forgotten_for_a_read)
{
    cell::configuration_spread it;
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

/// A copy that takes an owner longer than usual to begin is never waited for.
BOOST_AUTO_TEST_CASE(a_fetch_without_an_answer_is_given_more_time)
{
    cell::configuration_spread it;
    auto const first = it.fetch_timeout();
    it.on_fetch_ended(cell::fetch_end::failed);
    BOOST_TEST((it.fetch_timeout() == 2 * first));
    it.on_fetch_ended(cell::fetch_end::rejected);
    BOOST_TEST((it.fetch_timeout() == 2 * first));
    it.on_fetch_ended(cell::fetch_end::received);
    BOOST_TEST((it.fetch_timeout() == first));
}

BOOST_AUTO_TEST_SUITE_END()
