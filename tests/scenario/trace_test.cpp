#include <scenario/measures.hpp>
#include <scenario/replay.hpp>
#include <scenario/trace.hpp>

#include <boost/test/unit_test.hpp>

using namespace berylhill;

BOOST_AUTO_TEST_SUITE(trace)

BOOST_AUTO_TEST_CASE(lines_are_read_in_the_order_of_their_times)
{
    base::findings found;
    auto const lines = scenario::read_trace("t", R"(
{"at_s":9,"what":"operation","text":"kill entry 2"}

{"at_s":1.5,"what":"calls","name":"c","contract":"k","service":"s","safety":"at_most_once","deadline_s":2,"count":30,"rate":10}
{"what":"outcome","contract":"k","calls_answered":30}
)",
                                            found);
    BOOST_TEST(found.text() == "");
    BOOST_REQUIRE(lines.size() == 3U);
    BOOST_CHECK((std::get<scenario::stated_outcome>(lines[0].what) ==
                 scenario::stated_outcome{"k", 30, 0, 0, 0, 0}));
    BOOST_TEST(std::get<scenario::call_batch>(lines[1].what).count == 30);
    BOOST_CHECK(std::get<scenario::statement>(lines[2].what).what ==
                scenario::action::kill_entry);
}

BOOST_AUTO_TEST_CASE(all_mistakes_of_a_trace_are_told_together)
{
    base::findings found;
    auto const lines = scenario::read_trace("t", R"({"what":"call"}
{"what":"operation","text":"wait 5s"}
{"what":"outcome","contract":7,"jobs_suceeded":3}
[]
)",
                                            found);
    BOOST_TEST(lines.size() == 3U);
    auto const text = found.text();
    BOOST_TEST_INFO(text);
    BOOST_TEST(text.find("t:1: 'call' is not calls") != std::string::npos);
    BOOST_TEST(text.find("t:2: 'wait 5s' is no operation") !=
               std::string::npos);
    BOOST_TEST(text.find("t:3: contract is missing") != std::string::npos);
    BOOST_TEST(text.find("jobs_succeeded?") != std::string::npos);
    BOOST_TEST(text.find("t:4: an object") != std::string::npos);
}

namespace
{

scenario::timeline read(std::string_view text)
{
    return base::capture([&] { return scenario::timeline_from(text); }).value();
}

} // namespace

BOOST_AUTO_TEST_CASE(waits_and_doubles_are_measured)
{
    auto const seen = read(
        R"({"at_us":0,"kind":"job_sent","subject":"k","tag":"d-1","tasks":2}
{"at_us":1000000,"kind":"job_accepted","subject":"k","tag":"d-1","id":"j"}
{"at_us":1500000,"kind":"start","subject":"w","job":"j","index":0,"attempt":1,"contract":"k","planned":{"millicores":500},"capacity":{"millicores":1000}}
{"at_us":2000000,"kind":"start","subject":"w","job":"j","index":1,"attempt":1,"contract":"k","planned":{"millicores":500},"capacity":{"millicores":1000}}
{"at_us":2500000,"kind":"end","subject":"w","job":"j","index":0,"attempt":1,"end":"succeeded"}
{"at_us":3000000,"kind":"end","subject":"w","job":"j","index":1,"attempt":1,"end":"succeeded"}
{"at_us":3000001,"kind":"start","subject":"w","job":"j","index":1,"attempt":2,"contract":"k","planned":{"millicores":500},"capacity":{"millicores":1000}}
{"at_us":3000001,"kind":"end","subject":"w","job":"j","index":1,"attempt":2,"end":"succeeded"}
)");
    auto const it = scenario::measure_customers(seen).at("k");
    BOOST_TEST(it.tasks == 2);
    BOOST_TEST(it.tasks_done_once == 1);
    BOOST_TEST(it.tasks_done_again == 1);
    BOOST_TEST(scenario::quantile(it.task_wait_s, 0.5) == 0.5);
    BOOST_TEST(scenario::quantile(it.task_wait_s, 0.99) == 1.0);
    // Half a second each at 500, 1000 and 500 of 1000.
    BOOST_TEST(scenario::measure_packing(seen) == 2.0 / 3,
               boost::test_tools::tolerance(0.001));
}

BOOST_AUTO_TEST_CASE(an_outcome_that_did_not_come_is_told)
{
    base::findings found;
    auto const trace = scenario::read_trace(
        "t", R"({"what":"outcome","contract":"k","calls_answered":2})", found);
    auto const seen = read(
        R"({"at_us":0,"kind":"call_answered","subject":"k","call":"c","echo":"c"}
)");
    auto const missed = scenario::missed_outcomes(trace, seen);
    BOOST_REQUIRE(missed.size() == 1U);
    BOOST_TEST(missed[0] == "k calls answered: 1.000, stated was 2.000");
    BOOST_TEST(scenario::missed_outcomes({}, seen).empty());
    auto const unknown = read(
        R"({"at_us":0,"kind":"call_answered","subject":"k","call":"c","echo":"c"}
{"at_us":1,"kind":"call_given_up","subject":"k","call":"d"}
)");
    auto const told = scenario::missed_outcomes(trace, unknown);
    BOOST_REQUIRE(told.size() == 1U);
    BOOST_TEST(told[0] == "k calls unknown: 1.000, stated was 0.000");
}

BOOST_AUTO_TEST_SUITE_END()
