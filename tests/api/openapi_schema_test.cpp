#include <tests/api/openapi_schema.hpp>

#include <tests/api/openapi.hpp>

#include <model/json.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>

using namespace berylhill;

BOOST_AUTO_TEST_SUITE(openapi_schema)

namespace
{

struct answer_case
{
    char const* body;
    char const* says;
};

std::ostream& operator<<(std::ostream& out, answer_case const& it)
{
    return out << it.body;
}

std::array const s_answers{
    answer_case{R"({"kind":"worker","id":"w","operator":"a",
                    "state":"done","work_left":0})",
                ""},
    answer_case{R"({"kind":"worker","id":"w","operator":"a",
                    "work_left":0})",
                "/state is missing"},
    answer_case{R"({"kind":"boat","id":"w","operator":"a",
                    "state":"done","work_left":0})",
                "/kind is none of its words: boat"},
    answer_case{R"({"kind":"worker","id":"w","operator":"a",
                    "state":"done","work_left":"0"})",
                "/work_left is not of type integer"},
    answer_case{R"({"kind":"worker","id":"w","operator":"a",
                    "state":"done","work_left":0,"extra":1})",
                "/extra is not described"},
    answer_case{"[]", " is not of type object"},
};

} // namespace

BOOST_DATA_TEST_CASE(an_answer_is_compared_with_its_schema, s_answers, it)
{
    auto const document =
        tests::read_openapi(BERYLHILL_SOURCE_DIR "/docs/openapi.json");
    auto const& schema = tests::schema_of(
        document, {"GET", "/v1/stops/{kind}/{id}"}, "200", "application/json");
    auto const body = base::capture([&] { return model::parse_json(it.body); });
    BOOST_REQUIRE(body.has_value());
    std::string all;
    for (auto const& line : tests::mismatches(document, schema, body.value()))
    {
        all += line;
    }
    BOOST_TEST(all == it.says);
}

BOOST_AUTO_TEST_SUITE_END()
