#include <model/json.hpp>
#include <platform/worker_codec.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>

using namespace berylhill;

BOOST_AUTO_TEST_SUITE(worker_codec)

namespace
{

platform::worker_request some_request()
{
    model::attempt_id const attempt{{"j-1", 3}, 2};
    platform::worker_request it;
    it.epoch = 41;
    it.renew_until = 1'000'000'000'007;
    it.starts = {{attempt, "kitakaze", "daily", {500, 256, 1}, "{}", 77}};
    it.stops = {attempt};
    it.checkpoints = {attempt, attempt};
    it.throttles = {{attempt, 0.25}};
    it.acknowledged = {attempt};
    return it;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_request_comes_back_equal)
{
    auto const it = some_request();
    auto const back = base::capture(
        [&] { return platform::worker_request_from(platform::to_json(it)); });
    BOOST_REQUIRE(back.has_value());
    BOOST_CHECK(back.value() == it);
}

BOOST_AUTO_TEST_CASE(an_answer_comes_back_equal)
{
    model::attempt_id const attempt{{"j-1", 3}, 2};
    platform::worker_answer const it{
        99,
        "incarnation",
        {{attempt, "kitakaze", "daily", {500, 256, 0}, {480, 200, 0}}},
        {{attempt,
          "kitakaze",
          "daily",
          model::task_end::checkpointed,
          {480, 200, 0},
          1.5,
          "on request"}}};
    auto const back = base::capture(
        [&] { return platform::worker_answer_from(platform::to_json(it)); });
    BOOST_REQUIRE(back.has_value());
    BOOST_CHECK(back.value() == it);
}

namespace
{

std::array const s_members{"epoch",       "renew_until", "starts",      "stops",
                           "checkpoints", "throttles",   "acknowledged"};

} // namespace

BOOST_DATA_TEST_CASE(a_missing_member_is_named, s_members, name)
{
    auto value = platform::to_json(some_request());
    value.removeMember(name);
    auto const back =
        base::capture([&] { return platform::worker_request_from(value); });
    BOOST_REQUIRE(!back.has_value());
    BOOST_TEST(back.error().message.find(name) != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
