#include <calls/problem.hpp>
#include <model/json.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <ostream>

using namespace berylhill;
using calls::ran;
using calls::refusal_code;

BOOST_AUTO_TEST_SUITE(problem)

namespace
{

struct status_case
{
    refusal_code code;
    std::int32_t status;
};

std::ostream& operator<<(std::ostream& out, status_case const& it)
{
    return out << calls::name_of(it.code);
}

std::array const s_statuses{
    status_case{refusal_code::malformed, 400},
    status_case{refusal_code::unknown_contract, 403},
    status_case{refusal_code::service_not_allowed, 403},
    status_case{refusal_code::no_such_service, 404},
    status_case{refusal_code::rate_limited, 429},
    status_case{refusal_code::too_many_at_once, 429},
    status_case{refusal_code::overloaded, 503},
    status_case{refusal_code::deadline_too_short, 503},
    status_case{refusal_code::no_minion, 503},
    status_case{refusal_code::minion_refused, 502},
    status_case{refusal_code::log_unavailable, 503},
    status_case{refusal_code::key_in_progress, 409},
    status_case{refusal_code::key_conflict, 422},
    status_case{refusal_code::outcome_unknown, 504},
    status_case{refusal_code::stopping, 503},
};

} // namespace

BOOST_DATA_TEST_CASE(each_refusal_has_its_status_and_document, s_statuses, it)
{
    calls::refusal const why{ran::not_run, it.code, "so it is", 1.2};
    auto const shown = calls::problem_of(why, "r-1");
    BOOST_TEST(shown.status == it.status);
    BOOST_TEST(shown.retry_after_s == 2);
    auto const body =
        base::capture([&] { return model::parse_json(shown.body); });
    BOOST_REQUIRE(body.has_value());
    BOOST_TEST(body.value()["status"].asInt() == it.status);
    BOOST_TEST(body.value()["ran"].asString() == "not_run");
    BOOST_TEST(body.value()["detail"].asString() == "so it is");
    BOOST_TEST(body.value()["instance"].asString() == "r-1");
    BOOST_TEST(!body.value()["title"].asString().empty());
    auto const name = body.value()["code"].asString();
    BOOST_CHECK(calls::refusal_code_from(name) == it.code);
}

BOOST_AUTO_TEST_CASE(names_of_a_newer_version_guarantee_nothing)
{
    BOOST_CHECK(calls::execution_state_from("surely_not_run") == ran::unknown);
    BOOST_CHECK(calls::refusal_code_from("moved") ==
                refusal_code::outcome_unknown);
}

BOOST_AUTO_TEST_SUITE_END()
