#include "fake_log.hpp"

#include <stream/log_reader.hpp>

#include <boost/test/unit_test.hpp>

using namespace berylhill;
using namespace berylhill::stream;

namespace
{

reader_page poll(log_reader& it)
{
    auto page = base::capture([&] { return it.poll({}); });
    BOOST_REQUIRE(page.has_value());
    return page.value();
}

} // namespace

BOOST_AUTO_TEST_SUITE(reader)

// An entry sleeps, and meanwhile retention drops what it had not read. If it
// went on as if nothing were missing, it would serve a state that never was.
BOOST_AUTO_TEST_CASE(a_gap_is_reported)
{
    fake_log log;
    base::manual_clock const clock;
    log_reader reader{log, clock, "s"};
    log.bodies.push_back(body_of("w", 1, {"1"}));
    BOOST_TEST(poll(reader).entries.size() == 1U);
    for (std::int64_t n = 2; n < 9; ++n)
    {
        log.bodies.push_back(body_of("w", n, {std::to_string(n)}));
    }
    log.first = 5;
    auto const page = poll(reader);
    BOOST_REQUIRE(page.missed.has_value());
    BOOST_CHECK(*page.missed == (gap{1, 5}));
    BOOST_REQUIRE(!page.entries.empty());
    BOOST_CHECK(page.entries.front().at == (position{5, 0}));
    BOOST_TEST(!poll(reader).missed.has_value());
}

// An owner asks the log whether it is still the owner, and is paused before
// the answer comes. The right has to count from before the question.
BOOST_AUTO_TEST_CASE(freshness_counts_from_before_the_read)
{
    fake_log log;
    base::manual_clock clock;
    log_reader reader{log, clock, "s"};
    for (std::int64_t n = 1; n <= 300; ++n)
    {
        log.bodies.push_back(body_of("w", n, {"0"}));
    }
    BOOST_TEST(!poll(reader).fresh_as_of.has_value());
    clock.advance(std::chrono::seconds{1});
    auto const page = poll(reader);
    BOOST_REQUIRE(page.fresh_as_of.has_value());
    BOOST_CHECK(*page.fresh_as_of == clock.now());
}

// The log's service fails over to a copy that lags. What it shows as the end
// is not the end; taken for it, a superseded owner would go on.
BOOST_AUTO_TEST_CASE(an_older_end_is_not_the_end)
{
    fake_log log;
    base::manual_clock const clock;
    log_reader reader{log, clock, "s"};
    log.bodies.push_back(body_of("w", 1, {"1"}));
    log.bodies.push_back(body_of("w", 2, {"2"}));
    (void)poll(reader);
    log.bodies.pop_back();
    auto const page = base::capture([&] { return reader.poll({}); });
    BOOST_REQUIRE(!page.has_value());
    BOOST_TEST(base::name_of(page.error().code) == "unavailable");
}

BOOST_AUTO_TEST_CASE(foreign_records_are_skipped)
{
    fake_log log;
    base::manual_clock const clock;
    log_reader reader{log, clock, "s"};
    log.bodies = {"not JSON", "{}", body_of("w", 1, {"\"kept\""})};
    auto const page = poll(reader);
    BOOST_REQUIRE(page.entries.size() == 1U);
    BOOST_TEST(page.entries.front().value.asString() == "kept");
}

BOOST_AUTO_TEST_CASE(the_deduplicator_forgets_who_is_silent_for_longest)
{
    deduplicator it{2};
    BOOST_TEST(it.accept("a", 5, 0));
    BOOST_TEST(!it.accept("a", 5, 1));
    BOOST_TEST(!it.accept("a", 4, 2));
    BOOST_TEST(it.accept("b", 1, 3));
    BOOST_TEST(it.accept("a", 6, 4));
    BOOST_TEST(it.accept("c", 1, 5));
    BOOST_TEST(it.writers() == 2U);
    BOOST_TEST(!it.accept("a", 6, 6));
}

BOOST_AUTO_TEST_SUITE_END()
