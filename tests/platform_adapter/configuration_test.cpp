#include "cell_fixture.hpp"
#include "stand_ins/documents.hpp"
#include "stand_ins/fault_link.hpp"
#include "stand_ins/ports.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <memory>
#include <ostream>

using namespace berylhill;
using namespace berylhill::platform_test;
using std::chrono::milliseconds;

namespace
{

/// A machine's link of 2 Mbit/s.
constexpr std::size_t slow_link = 250'000;

/// The largest record that the platform's store takes, bytes.
constexpr std::size_t largest_record = 262'144;

/// From the acceptance of a configuration until it is in force everywhere.
constexpr milliseconds in_force{3'000};

struct size_case
{
    char const* name;
    std::size_t bytes;
    /// What a machine's link carries, bytes a second; 0: any amount.
    std::size_t link;
    /// The store's reads are answered so much later.
    milliseconds delay;
    bool strict_size;
};

std::ostream& operator<<(std::ostream& to, size_case const& it)
{
    return to << it.name;
}

size_case const size_cases[] = {
    {"the largest record, slow links", largest_record, slow_link,
     milliseconds{0}, false},
    {"1,400 routes more, slow links", 380'000, slow_link, milliseconds{0},
     false},
    {"a small one, a store that answers late", 0, 0, milliseconds{1'300},
     false},
    {"the largest record, a store that answers late", largest_record, 0,
     milliseconds{1'300}, false},
    {"a store that gives no record larger than asked for", largest_record, 0,
     milliseconds{0}, true},
};

/// The cell with a link of its own from each process to the store.
struct linked_cell : cell_fixture
{
    linked_cell()
    {
        for (std::size_t n = 0; n < processes; ++n)
        {
            auto const at = link_address(n);
            links.push_back(
                std::make_unique<fault_link>(loop, at, local(store_port())));
            stop_process(n);
            start_process(n, at.port);
        }
        BOOST_REQUIRE(
            run_until([&] { return ready(0) && ready(1) && ready(2); }));
    }

    unsigned ask(std::size_t process, std::string const& queue)
    {
        return call(process, network::http_method::get, "/" + queue + "/");
    }

    /// All serve `now` and refuse `before`.
    bool serve(std::string const& now, std::string const& before)
    {
        for (std::size_t n = 0; n < processes; ++n)
        {
            if (ask(n, now) != 200U || ask(n, before) != 404U)
            {
                return false;
            }
        }
        return true;
    }

    /// Waits until all serve `now` and refuse `before`; prints the time it
    /// took.
    bool in_force_in_time(std::string const& now, std::string const& before)
    {
        auto const begun = std::chrono::steady_clock::now();
        auto const out =
            run_until([&] { return serve(now, before); }, in_force);
        auto const took = std::chrono::duration_cast<milliseconds>(
            std::chrono::steady_clock::now() - begun);
        BOOST_TEST_MESSAGE("in force after " << took.count() << " ms");
        return out;
    }

    std::vector<std::unique_ptr<fault_link>> links;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(configuration_path, linked_cell)

/// A route that was taken out is served for good: a read that is given up
/// before the record is through is repeated with the same patience.
BOOST_DATA_TEST_CASE(a_configuration_of_any_size_is_soon_in_force,
                     boost::unit_test::data::make(size_cases))
{
    store->put(operators_topic, configuration_key,
               configuration_document(2, {"q", "a"}));
    BOOST_REQUIRE(run_until([&] { return serve("a", "b"); }));
    for (auto const& it : links)
    {
        it->set_rate(sample.link);
    }
    store->set_read_delay(sample.delay);
    if (sample.strict_size)
    {
        store->set_strict_size();
    }
    store->put(operators_topic, configuration_key,
               configuration_document(3, {"q", "b"}, sample.bytes));
    BOOST_TEST(in_force_in_time("b", "a"));
    store->put(operators_topic, configuration_key,
               configuration_document(4, {"q", "a"}, sample.bytes));
    BOOST_TEST(in_force_in_time("a", "b"));
}

/// Guards against a route that was taken out and is answered with 503: the
/// owner has the newest configuration from another process, and its own read
/// of the store that would confirm the version takes too long.
BOOST_AUTO_TEST_CASE(a_configuration_of_another_process_is_confirmed)
{
    store->put(operators_topic, configuration_key,
               configuration_document(2, {"q", "a"}));
    BOOST_REQUIRE(run_until([&] { return serve("a", "b"); }));
    auto const to = owner();
    BOOST_REQUIRE(to.has_value());
    links[*to]->set(link_state::silent);
    BOOST_REQUIRE(run_until([&] { return ask(*to, "b") == 503U; }));
    store->put(operators_topic, configuration_key,
               configuration_document(3, {"q", "b"}));
    BOOST_TEST(run_until([&] { return ask(*to, "a") == 404U; }, in_force));
    BOOST_TEST(ask(*to, "b") == 200U);
}

/// Guards against a restart of hundreds of processes that each read a large
/// configuration from the store, while the new owner needs its records.
BOOST_AUTO_TEST_CASE(
    a_process_that_starts_gets_the_configuration_from_the_owner)
{
    store->put(operators_topic, configuration_key,
               configuration_document(2, {"q", "a"}));
    BOOST_REQUIRE(run_until([&] { return serve("a", "b"); }));
    auto const to = owner();
    BOOST_REQUIRE(to.has_value());
    auto const other = (*to + 1) % processes;
    auto const before = store->newest_reads(operators_topic);
    stop_process(other);
    start_process(other, link_address(other).port);
    BOOST_REQUIRE(run_until([&] { return ready(other); }));
    BOOST_TEST(ask(other, "a") == 200U);
    BOOST_TEST(store->newest_reads(operators_topic) == before);
    // Later versions come from the store.
    store->put(operators_topic, configuration_key,
               configuration_document(3, {"q", "b"}));
    BOOST_TEST(run_until([&] { return serve("b", "a"); }, in_force));
}

BOOST_AUTO_TEST_SUITE_END()
