#include <tests/api/openapi.hpp>

#include <api/operator_documents.hpp>

#include <model/json.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>

using namespace berylhill;

BOOST_AUTO_TEST_SUITE(operator_documents)

namespace
{

char const* const s_apply =
    R"({"id": "a", "based_on": 4, "operator": "aiko",
        "contracts": [{"name": "kitakaze", "side": "sapporo"}],
        "remove": ["old"]})";

configuration::state state_with_conflict()
{
    configuration::apply_change it;
    it.id = "first";
    it.operator_name = "aiko";
    it.contracts.push_back({});
    it.contracts[0].name = "kitakaze";
    configuration::state state;
    state.fold(0, {it});
    it.id = "second";
    it.contracts[0].weight = 2;
    state.fold(1, {it});
    return state;
}

/// The members that the page requires of an answer are all there.
void check_members(Json::Value const& answer,
                   tests::operation const& it,
                   std::string const& status)
{
    auto const document =
        tests::read_openapi(BERYLHILL_SOURCE_DIR "/docs/openapi.json");
    auto const required = tests::required_members_of(document, it, status);
    BOOST_TEST(!required.empty());
    for (auto const& name : required)
    {
        BOOST_TEST(answer.isMember(name), name);
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(an_apply_is_read_whole)
{
    auto const it =
        base::capture([] { return api::apply_change_from(s_apply, 77); });
    BOOST_REQUIRE(it.has_value());
    BOOST_TEST(it.value().id == "a");
    BOOST_TEST(it.value().based_on == 4);
    BOOST_TEST(it.value().at_us == 77);
    BOOST_TEST(it.value().contracts.at(0).name == "kitakaze");
    BOOST_TEST(it.value().removed.at(0) == "old");
}

namespace
{

struct wrong_case
{
    char const* body;
    char const* says;
};

std::ostream& operator<<(std::ostream& out, wrong_case const& it)
{
    return out << it.says;
}

std::array const s_wrong{
    wrong_case{"{", "request:1: column"},
    wrong_case{"{}", "member based_on is missing"},
    wrong_case{R"({"based_on": 1, "operator": "a", "remove": [],
                   "contracts": [{"name": "k", "side": "s", "weight": -1}]})",
               "request:2: /contracts/0/weight: -1 is not a number"},
    wrong_case{R"({"based_on": 1, "operator": "a", "remove": ["k"],
                   "contracts": [{"name": "k", "side": "s"}]})",
               "contract k stands twice"},
};

} // namespace

BOOST_DATA_TEST_CASE(a_wrong_apply_is_refused_with_its_places, s_wrong, it)
{
    auto const read =
        base::capture([&] { return api::apply_change_from(it.body, 0); });
    BOOST_REQUIRE(!read.has_value());
    BOOST_TEST(read.error().message.find(it.says) != std::string::npos,
               read.error().message);
}

BOOST_AUTO_TEST_CASE(a_stop_says_instance_for_an_entry)
{
    auto const it = base::capture(
        []
        {
            return api::stop_change_from(
                R"({"kind": "instance", "id": "e-1", "operator": "aiko"})", 5);
        });
    BOOST_REQUIRE(it.has_value());
    BOOST_CHECK(it.value().kind == model::endpoint_kind::entry);
    BOOST_TEST(!base::capture(
                    []
                    {
                        return api::stop_change_from(
                            R"({"kind": "boat", "id": "e", "operator": "a"})",
                            5);
                    })
                    .has_value());
    auto const shown = api::stop_document(
        {model::endpoint_kind::entry, "e-1", "aiko", 3, 5, false},
        api::stop_phase::draining, 12);
    BOOST_TEST(shown["kind"].asString() == "instance");
    check_members(shown, {"GET", "/v1/stops/{kind}/{id}"}, "200");
    check_members(shown, {"POST", "/v1/stops"}, "202");
}

BOOST_AUTO_TEST_CASE(the_documents_have_the_members_of_the_page)
{
    auto const state = state_with_conflict();
    check_members(api::contracts_document(state), {"GET", "/v1/contracts"},
                  "200");
    auto const history =
        base::capture([&] { return api::history_document(state, "kitakaze"); });
    BOOST_REQUIRE(history.has_value());
    check_members(history.value(), {"GET", "/v1/contracts/{name}/history"},
                  "200");
    BOOST_TEST(
        !base::capture([&] { return api::history_document(state, "nobody"); })
             .has_value());
}

BOOST_AUTO_TEST_CASE(the_loser_is_told_by_whom_and_what_was_changed)
{
    auto const verdict = state_with_conflict().verdict_of("second");
    BOOST_REQUIRE(verdict.has_value());
    auto const body = base::capture(
        [&] { return model::parse_json(api::conflict_body(*verdict)); });
    BOOST_REQUIRE(body.has_value());
    auto const& conflict = body.value()["conflicts"][0];
    BOOST_TEST(conflict["contract"].asString() == "kitakaze");
    BOOST_TEST(conflict["later"][0]["operator"].asString() == "aiko");
    BOOST_TEST(body.value()["ran"].asString() == "not_run");
    BOOST_TEST(body.value()["detail"].asString() ==
               "kitakaze was added by aiko at version 0\n");
}

BOOST_AUTO_TEST_SUITE_END()
