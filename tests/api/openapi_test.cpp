#include <tests/api/openapi.hpp>

#include <api/paths.hpp>
#include <api/problem.hpp>
#include <api/stop_kind.hpp>

#include <model/json.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <set>

using namespace berylhill;

BOOST_AUTO_TEST_SUITE(openapi)

namespace
{

Json::Value document()
{
    return tests::read_openapi(BERYLHILL_SOURCE_DIR "/docs/openapi.json");
}

std::vector<std::string> names_in(Json::Value const& schema)
{
    return document()["components"]["schemas"][schema.asString()]["properties"]
        .getMemberNames();
}

} // namespace

BOOST_AUTO_TEST_CASE(every_reference_leads_somewhere)
{
    BOOST_REQUIRE(document().isObject());
    for (auto const& it : tests::dangling_references_in(document()))
    {
        BOOST_ERROR(it);
    }
}

BOOST_AUTO_TEST_CASE(every_path_constant_is_in_the_document)
{
    std::set<std::string> prefixes;
    for (auto const& it : tests::operations_of(document()))
    {
        prefixes.insert(it.path.substr(0, it.path.find("/{")));
    }
    for (auto const* it : {api::s_services, api::s_jobs, api::s_contracts,
                           api::s_contracts_apply, api::s_stops, api::s_status,
                           api::s_traces, api::s_health, api::s_metrics})
    {
        BOOST_TEST(prefixes.contains(it), it);
    }
}

BOOST_AUTO_TEST_CASE(operations_are_listed_with_their_answers)
{
    auto const all = tests::operations_of(document());
    tests::operation const show{"GET", "/v1/jobs/{id}"};
    BOOST_TEST(std::ranges::count(all, show) == 1);
    BOOST_TEST(all.size() == 15U);
    auto const statuses = tests::statuses_of(document(), show);
    BOOST_TEST(std::ranges::count(statuses, "404") == 1);
    auto const members = tests::required_members_of(document(), show, "200");
    BOOST_TEST(std::ranges::count(members, "tasks_done") == 1);
}

// The page's schemas of a contract and a job have the members of the model: a
// member that is added to one only would be sent and never read.
BOOST_AUTO_TEST_CASE(the_schemas_have_the_members_of_the_model)
{
    BOOST_TEST(names_in("contract") ==
                   model::to_json(model::contract{}).getMemberNames(),
               boost::test_tools::per_element());
    BOOST_TEST(names_in("job_request") ==
                   model::to_json(model::job_request{}).getMemberNames(),
               boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_stop_of_an_entry_is_one_of_an_instance)
{
    for (auto const kind :
         {model::endpoint_kind::entry, model::endpoint_kind::worker,
          model::endpoint_kind::minion})
    {
        auto const back = base::capture(
            [&] { return api::stop_kind_from(api::stop_kind_name(kind)); });
        BOOST_REQUIRE(back.has_value());
        BOOST_CHECK(back.value() == kind);
    }
    BOOST_TEST(api::stop_kind_name(model::endpoint_kind::entry) == "instance");
    BOOST_TEST(!base::capture([] { return api::stop_kind_from("entry"); })
                    .has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(problem)

namespace
{

std::array const s_codes{
    "invalid", "not_found",   "conflict",
    "refused", "unavailable", "outcome_unknown",
};

std::array const s_no_promise{
    "",
    "<html>bad gateway</html>",
    "[]",
    R"({"ran": true})",
    R"({"ran": "not-run"})",
};

} // namespace

BOOST_DATA_TEST_CASE(a_failure_comes_back_with_its_code, s_codes, name)
{
    auto const code = base::failure_code_from(name);
    auto const sent = api::problem_of({code, "why", 1.5});
    auto const got = api::problem_from(sent.status, api::body_of(sent));
    BOOST_CHECK(got == sent);
    BOOST_CHECK(api::failure_of(got).code == code);
    BOOST_TEST(api::failure_of(got).retry_after_s == 1.5);
}

// A proxy on the way answers 502 with a page of its own after the entry has
// taken the request. Read as "not run", the request would be sent again.
BOOST_DATA_TEST_CASE(an_answer_without_the_promise_is_unknown,
                     s_no_promise,
                     body)
{
    auto const it = api::problem_from(502, body);
    BOOST_TEST(it.ran == "unknown");
    BOOST_CHECK(api::failure_of(it).code ==
                base::failure_code::outcome_unknown);
}

BOOST_AUTO_TEST_SUITE_END()
