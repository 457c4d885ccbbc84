#include <model/json.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>

using namespace berylhill;

BOOST_AUTO_TEST_SUITE(json)

BOOST_AUTO_TEST_CASE(a_contract_comes_back_equal)
{
    model::contract it;
    it.name = "kitakaze";
    it.side = "sapporo";
    it.services = {"report-svc"};
    it.quota = {1'600'000, 6'400'000, 4};
    it.preferred = model::preference::packing;
    it.preempted = model::preemption::by_checkpoint;
    auto const back =
        base::capture([&] { return model::contract_from(model::to_json(it)); });
    BOOST_REQUIRE(back.has_value());
    BOOST_CHECK(back.value() == it);
}

BOOST_AUTO_TEST_CASE(a_job_request_comes_back_equal)
{
    model::job_request it;
    it.contract = "cantabrica";
    it.name = "season-reissue";
    it.kind = model::job_kind::gang;
    it.tasks = 24;
    it.declared = {2'000, 4'096, 0};
    it.urgent = model::urgency::urgent;
    it.safety = model::rerun::at_most_once;
    it.key = "season-2026";
    auto const back = base::capture(
        [&] { return model::job_request_from(model::to_json(it)); });
    BOOST_REQUIRE(back.has_value());
    BOOST_CHECK(back.value() == it);
}

namespace
{

struct wrong_case
{
    char const* text;
    char const* says;
};

std::ostream& operator<<(std::ostream& out, wrong_case const& it)
{
    return out << it.text;
}

std::array const s_wrong{
    wrong_case{R"([])", "an object was expected"},
    wrong_case{R"({"tasks": "two"})", "tasks has the wrong type"},
    wrong_case{R"({"kind": "crowd"})", "none of service, batch, gang"},
    wrong_case{R"({"declared": {"memory_mb": true}})", "declared/memory_mb"},
};

} // namespace

BOOST_DATA_TEST_CASE(a_wrong_member_is_named, s_wrong, it)
{
    auto const back = base::capture(
        [&]() -> base::result<model::job_request>
        {
            BOOST_LEAF_AUTO(value, model::parse_json(it.text));
            return model::job_request_from(value);
        });
    BOOST_REQUIRE(!back.has_value());
    BOOST_TEST(back.error().message.find(it.says) != std::string::npos);
}

BOOST_AUTO_TEST_CASE(deep_nesting_is_refused_and_not_a_crash)
{
    auto const text = std::string(100'000, '[');
    auto const back = base::capture([&] { return model::parse_json(text); });
    BOOST_CHECK(!back.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
