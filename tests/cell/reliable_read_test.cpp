#include "fake_log.hpp"

#include <cell/reliable_read.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>
#include <ostream>

using namespace berylhill;
using namespace berylhill::cell_test;
using std::chrono::milliseconds;

namespace
{

constexpr milliseconds slack{50};

/// The size of a configuration with 1,400 queues.
constexpr std::size_t large = 380'000;

struct fixture
{
    cell::reliable_read_result read(base::duration wait = milliseconds{0})
    {
        std::optional<cell::reliable_read_result> out;
        reader.begin({0, wait, 1'024, cell::max_response_delay},
                     [&](cell::reliable_read_result it)
                     { out = std::move(it); });
        auto const end = clock.now() + std::chrono::seconds{6};
        while (!out && clock.now() < end)
        {
            loop.restart();
            loop.run_for(milliseconds{5});
        }
        BOOST_REQUIRE(out.has_value());
        return *out;
    }

    boost::asio::io_context loop;
    base::system_clock clock;
    fake_log log{loop};
    cell::reliable_read reader{loop, clock, log, "test", slack};
};

struct slow_case
{
    char const* name;
    std::size_t bytes;
    std::size_t link_bytes_per_s;
    milliseconds delay;
    /// Most requests of the first and of the second read.
    std::size_t first_questions;
    std::size_t second_questions;
};

std::ostream& operator<<(std::ostream& to, slow_case const& it)
{
    return to << it.name;
}

slow_case const slow_cases[] = {
    {"a large record on a slow link", large, 1'000'000, milliseconds{0}, 1, 1},
    {"a small record, a slow store", 10, 0, milliseconds{400}, 4, 1},
    {"a large record, both slow", large, 1'000'000, milliseconds{400}, 4, 1},
    {"nothing slow", 10, 0, milliseconds{0}, 1, 1},
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(reliable_read, fixture)

/// Guards against a configuration that never arrives because a slow read is
/// given up and repeated with the same timeout, or is sent again in parallel.
BOOST_DATA_TEST_CASE(slow_read_succeeds,
                     boost::unit_test::data::make(slow_cases))
{
    log.put({{"config", std::string(sample.bytes, 'x')}});
    log.link_bytes_per_s = sample.link_bytes_per_s;
    log.read_delay = sample.delay;
    BOOST_TEST(read().result.entries.size() == 1U);
    BOOST_TEST(log.reads <= sample.first_questions);
    log.reads = 0;
    BOOST_TEST(read().result.entries.size() == 1U);
    BOOST_TEST(log.reads <= sample.second_questions);
}

/// Guards against a read that waits for a silent connection as long as for an
/// unavailable store.
BOOST_AUTO_TEST_CASE(silent_connection_costs_one_pause)
{
    log.put({{"config", "x"}});
    log.silent_reads = 1;
    auto const begun = clock.now();
    BOOST_TEST(read().result.entries.size() == 1U);
    BOOST_TEST((clock.now() - begun < milliseconds{500}));
    BOOST_TEST(log.reads == 2U);
}

BOOST_AUTO_TEST_CASE(read_of_a_silent_store_is_given_up)
{
    log.read_delay = std::chrono::seconds{60};
    BOOST_TEST((read().result.outcome == cell::read_outcome::unanswered));
    BOOST_TEST(log.reads == 4U);
}

/// Guards against a version that is considered the newest although a newer one
/// was accepted while the answer was in transit.
BOOST_AUTO_TEST_CASE(answer_is_valid_as_of_its_request)
{
    log.put({{"config", "x"}});
    log.read_delay = milliseconds{30};
    auto const begun = clock.now();
    auto const it = read();
    BOOST_TEST((it.as_of >= begun));
    BOOST_TEST((it.as_of < begun + milliseconds{25}));
}

BOOST_AUTO_TEST_SUITE_END()
