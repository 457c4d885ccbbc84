#include "fake_log.hpp"

#include <cell/reliable_append.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>
#include <ostream>
#include <string>
#include <utility>

using namespace berylhill;
using namespace berylhill::cell_test;
using cell::reliable_append_outcome;

namespace
{

using record_list = std::vector<scheduler::record>;

record_list const ours{{"a", "1"}, {"b", "2"}};

struct append_case
{
    char const* name;
    /// Records of other writers from our offset on.
    record_list others;
    std::vector<fate> fates;
    std::uint64_t at;
    reliable_append_outcome end;
};

std::ostream& operator<<(std::ostream& to, append_case const& it)
{
    return to << it.name;
}

append_case const cases[] = {
    {"stored at once", {}, {}, 0, reliable_append_outcome::stored},
    {"stored without an answer",
     {},
     {fate::store_silently},
     0,
     reliable_append_outcome::stored},
    {"refused, then stored",
     {},
     {fate::refuse, fate::refuse},
     0,
     reliable_append_outcome::stored},
    {"lost, then stored",
     {},
     {fate::delay},
     0,
     reliable_append_outcome::stored},
    {"another writer was first",
     {{"owner", "x"}},
     {},
     0,
     reliable_append_outcome::overtaken},
    {"another batch with the same first record",
     {{"a", "1"}, {"b", "other"}},
     {},
     0,
     reliable_append_outcome::overtaken},
    {"the log ends before our offset",
     {},
     {},
     7,
     reliable_append_outcome::overtaken},
};

struct confirmation_case
{
    char const* name;
    std::vector<fate> fates;
    /// Another writer appends behind the records before they are found.
    bool overtaken;
    /// The confirmation is newer than the first attempt.
    bool newer;
};

std::ostream& operator<<(std::ostream& to, confirmation_case const& it)
{
    return to << it.name;
}

confirmation_case const confirmation_cases[] = {
    {"stored at once", {}, false, false},
    {"refused, then stored", {fate::refuse, fate::refuse}, false, true},
    {"found, and nothing behind it", {fate::store_silently}, false, true},
    {"found, and another writer behind it",
     {fate::store_silently},
     true,
     false},
};

struct fixture
{
    boost::asio::io_context loop;
    base::system_clock clock;
    fake_log log{loop};
    cell::store_latency latency;
    cell::reliable_append append{loop, clock, log, latency};
    std::optional<reliable_append_outcome> end;

    void begin(std::uint64_t at, base::duration limit = {})
    {
        append.begin(at, ours, limit,
                     [this](reliable_append_outcome it) { end = it; });
    }

    void run()
    {
        for (int n = 0; n < 400 && !end; ++n)
        {
            loop.restart();
            loop.run_for(std::chrono::milliseconds{5});
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(reliable_append, fixture)

BOOST_DATA_TEST_CASE(outcome_is_certain, boost::unit_test::data::make(cases))
{
    log.put(sample.others);
    log.append_behaviors.assign(sample.fates.begin(), sample.fates.end());
    begin(sample.at);
    run();
    BOOST_REQUIRE(end.has_value());
    BOOST_TEST((*end == sample.end));
    log.deliver_late();
    if (sample.end == reliable_append_outcome::stored)
    {
        // Stored once, however often it was sent.
        BOOST_TEST((log.log == ours));
    }
}

/// Guards against an owner that takes an append for a sign that it still owns
/// the work although another process has claimed since.
BOOST_DATA_TEST_CASE(confirmation_is_not_newer_than_another_writers_record,
                     boost::unit_test::data::make(confirmation_cases))
{
    log.append_behaviors.assign(sample.fates.begin(), sample.fates.end());
    auto const before = clock.now();
    begin(0);
    auto const begun = clock.now();
    if (sample.overtaken)
    {
        log.put({{"owner", "x"}});
    }
    run();
    BOOST_REQUIRE(end.has_value());
    BOOST_TEST((*end == reliable_append_outcome::stored));
    BOOST_TEST((append.confirmed_at() >= before));
    BOOST_TEST((append.confirmed_at() <= clock.now()));
    BOOST_TEST((append.confirmed_at() > begun) == sample.newer);
}

BOOST_AUTO_TEST_CASE(refused_append_can_be_taken_back)
{
    log.append_behaviors.assign(1'000, fate::refuse);
    begin(0);
    loop.run_for(std::chrono::milliseconds{20});
    BOOST_TEST(append.take_back());
    BOOST_TEST(!append.busy());
    log.append_behaviors.clear();
    run();
    BOOST_TEST(!end.has_value());
    BOOST_TEST(log.log.empty());
}

/// Guards against a job that is reported as refused but runs: the store did not
/// answer the first attempt and refused the next ones, and only these were
/// counted.
BOOST_AUTO_TEST_CASE(unanswered_append_cannot_be_taken_back)
{
    log.append_behaviors.push_back(fate::delay);
    log.append_behaviors.insert(log.append_behaviors.end(), 1'000,
                                fate::refuse);
    begin(0);
    loop.run_for(std::chrono::milliseconds{20});
    BOOST_TEST(!append.take_back());
    log.deliver_late();
    log.append_behaviors.clear();
    run();
    BOOST_REQUIRE(end.has_value());
    BOOST_TEST((*end == reliable_append_outcome::stored));
}

/// Guards against an append that is repeated for ever because its final
/// rejection counts as no answer.
BOOST_AUTO_TEST_CASE(rejected_append_is_not_repeated)
{
    log.rejected_key = "b";
    begin(0);
    run();
    BOOST_REQUIRE(end.has_value());
    BOOST_TEST((*end == reliable_append_outcome::rejected));
    BOOST_TEST(log.appends == 1U);
    BOOST_TEST(log.log.empty());
}

/// Guards against a rejected append that is reported as certainly not stored
/// although an earlier attempt, which had no answer, can still be carried out.
BOOST_AUTO_TEST_CASE(rejected_append_is_in_doubt_after_a_silent_attempt)
{
    log.append_behaviors = {fate::delay};
    begin(0);
    log.rejected_key = "b";
    run();
    BOOST_REQUIRE(end.has_value());
    BOOST_TEST((*end == reliable_append_outcome::rejected_in_doubt));
}

/// Guards against the same when that attempt has been carried out.
BOOST_AUTO_TEST_CASE(rejected_append_that_is_stored_is_found)
{
    log.append_behaviors = {fate::store_silently};
    begin(0);
    log.rejected_key = "b";
    run();
    BOOST_REQUIRE(end.has_value());
    BOOST_TEST((*end == reliable_append_outcome::stored));
}

/// Guards against taking another batch for this one because only what fits into
/// one read of the log was compared.
BOOST_AUTO_TEST_CASE(all_records_of_a_large_append_are_compared)
{
    record_list large;
    for (int n = 0; n < 8; ++n)
    {
        large.push_back({"k" + std::to_string(n), std::string(250'000, 'v')});
    }
    auto other = large;
    other.back().value.back() = 'w';
    for (auto const& [found, expected] :
         {std::pair{large, reliable_append_outcome::stored},
          std::pair{other, reliable_append_outcome::overtaken}})
    {
        log.log = found;
        end.reset();
        append.begin(0, large, {},
                     [this](reliable_append_outcome it) { end = it; });
        run();
        BOOST_REQUIRE(end.has_value());
        BOOST_TEST((*end == expected));
    }
}

/// Guards against refused work while the store is merely slow: appends take 240
/// ms instead of the usual 4 ms, each attempt was abandoned before its answer
/// came, and the attempts queued up behind each other.
BOOST_AUTO_TEST_CASE(slow_store_is_not_considered_silent)
{
    log.append_behaviors.assign(1'000, fate::slow);
    auto const began = clock.now();
    begin(0);
    run();
    BOOST_REQUIRE(end.has_value());
    BOOST_TEST((*end == reliable_append_outcome::stored));
    BOOST_TEST(base::seconds_of(clock.now() - began) < 0.4);
    BOOST_TEST(log.appends <= 2);
    BOOST_TEST((log.log == ours));
}

/// Guards against work that is refused for two seconds after a silent store has
/// recovered, because a new attempt was sent only after one of four lost ones
/// had timed out.
BOOST_AUTO_TEST_CASE(recovered_store_is_tried_soon)
{
    log.append_behaviors.assign(1'000, fate::silent);
    begin(0);
    loop.run_for(std::chrono::milliseconds{1'300});
    log.append_behaviors.clear();
    auto const back = clock.now();
    run();
    BOOST_REQUIRE(end.has_value());
    BOOST_TEST((*end == reliable_append_outcome::stored));
    BOOST_TEST(base::seconds_of(clock.now() - back) < 0.9);
}

/// Guards against one owner that sends three hundred appends a second, all
/// counted by the store, while connections are reset at once.
BOOST_AUTO_TEST_CASE(connection_resets_limit_the_rate)
{
    log.append_behaviors.assign(1'000, fate::delay);
    begin(0);
    loop.run_for(std::chrono::milliseconds{300});
    // Sent after 10, 20, 40 and 80 ms, and then every 100 ms.
    BOOST_TEST(log.appends <= 7);
    BOOST_TEST(log.appends >= 4);
}

BOOST_AUTO_TEST_CASE(append_is_given_up_after_its_limit)
{
    log.append_behaviors.assign(1'000, fate::refuse);
    begin(0, std::chrono::milliseconds{100});
    run();
    BOOST_REQUIRE(end.has_value());
    BOOST_TEST((*end == reliable_append_outcome::unknown));
}

BOOST_AUTO_TEST_SUITE_END()
