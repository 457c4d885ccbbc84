#include <entry/http_router.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <stdexcept>

using namespace berylhill;

namespace
{

constexpr auto get = network::http_method::get;
constexpr auto post = network::http_method::post;

struct route_case
{
    char const* name;
    network::http_method method;
    std::string target;
    unsigned status;
    /// A part of the body.
    std::string body;
    bool at_once;
};

std::ostream& operator<<(std::ostream& to, route_case const& it)
{
    return to << it.name;
}

route_case const routes[] = {
    {"a path", get, "/jobs", 200, "all", false},
    {"with a query", get, "/jobs?state=a%20b", 200, "all a b", false},
    {"a part of a path", get, "/jobs/j-1", 200, "j-1", false},
    {"an escaped part", get, "/jobs/j%2D1", 200, "j-1", false},
    {"the same path, another method", post, "/jobs", 202, "made", false},
    {"a method without a handler", post, "/health", 404, "not_run", true},
    {"no such path", get, "/none", 404, "not_run", true},
    {"what is answered at once", get, "/health", 200, "well", true},
    {"a handler that throws", get, "/throws", 500, "unknown", false},
    {"a target that is too long", get, "/jobs/" + std::string(16'000, 'j'), 414,
     "not_run", true},
};

struct fixture
{
    fixture()
    {
        router.get("/jobs",
                   [](auto const& it, auto& to)
                   {
                       auto const state = it.get_param_value("state");
                       to.set_content(state.empty() ? "all" : "all " + state,
                                      "text/plain");
                   });
        router.get("/jobs/([^/]+)", [](auto const& it, auto& to)
                   { to.set_content(it.matches[1].str(), "text/plain"); });
        router.post("/jobs",
                    [](auto const&, auto& to)
                    {
                        to.status = 202;
                        to.set_content("made", "text/plain");
                    });
        router.get(
            "/health",
            [](auto const&, auto& to) { to.set_content("well", "text/plain"); },
            entry::handled::at_once);
        router.get("/throws", [](auto const&, auto&)
                   { throw std::runtime_error{"a fault"}; });
    }

    entry::http_router router;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(http_router, fixture)

BOOST_DATA_TEST_CASE(each_request_finds_its_handler,
                     boost::unit_test::data::make(routes))
{
    network::http_request const request{
        sample.method, sample.target, {}, {}, {}};
    auto const out = router.answer(request);
    BOOST_TEST(out.status == sample.status);
    BOOST_TEST(out.body.find(sample.body) != std::string::npos);
    BOOST_TEST(router.answers_at_once(request) == sample.at_once);
}

BOOST_AUTO_TEST_CASE(fields_are_handed_on_in_both_directions)
{
    router.get("/echo",
               [](auto const& it, auto& to)
               {
                   to.set_header("X-Request-Id",
                                 it.get_header_value("x-request-id"));
                   to.set_content("{}", "application/problem+json");
               });
    auto const out =
        router.answer({get, "/echo", {{"X-Request-Id", "7"}}, {}, {}});
    BOOST_TEST(network::field_of(out.fields, "X-Request-Id") == "7");
    BOOST_TEST(out.content_type == "application/problem+json");
}

BOOST_AUTO_TEST_SUITE_END()
