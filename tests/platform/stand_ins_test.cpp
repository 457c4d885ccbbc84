#include <model/json.hpp>
#include <platform/http_endpoint_list.hpp>
#include <platform/http_log_service.hpp>
#include <platform/http_worker_link.hpp>
#include <stand_ins/list_stand_in.hpp>
#include <stand_ins/log_stand_in.hpp>
#include <stand_ins/worker_stand_in.hpp>

#include <boost/test/unit_test.hpp>

using namespace berylhill;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(stand_ins_through_adapters)

namespace
{

struct log_at_work
{
    stand_ins::history seen{""};
    stand_ins::log_stand_in log{{}, seen};
    platform::http_log_service service{
        std::make_shared<platform::http_pool>(),
        "127.0.0.1:" + std::to_string(log.start(0)), 2s};
};

} // namespace

BOOST_FIXTURE_TEST_CASE(what_was_appended_is_read_back, log_at_work)
{
    for (std::int64_t i = 0; i < 3; ++i)
    {
        auto const body = "body\n\"" + std::to_string(i);
        auto const at =
            base::capture([&] { return service.append("jobs", body); });
        BOOST_REQUIRE(at.has_value());
        BOOST_TEST(at.value() == i);
    }
    auto const page =
        base::capture([&] { return service.read("jobs", 1, 10, 0s); });
    BOOST_REQUIRE(page.has_value());
    BOOST_TEST(page.value().next == 3);
    BOOST_REQUIRE(page.value().records.size() == 2U);
    BOOST_TEST(page.value().records[1].body == "body\n\"2");
}

// A job is lost or doubled: its append took effect and the answer was lost.
// The caller must hear "unknown", never "not written".
BOOST_FIXTURE_TEST_CASE(a_lost_answer_is_unknown_and_the_record_is_there,
                        log_at_work)
{
    log.apply({"log", "lose_after", 100});
    auto const lost =
        base::capture([&] { return service.append("jobs", "x"); });
    BOOST_REQUIRE(!lost.has_value());
    BOOST_CHECK(lost.error().code == base::failure_code::outcome_unknown);
    auto const page =
        base::capture([&] { return service.read("jobs", 0, 10, 0s); });
    BOOST_TEST(page.value().records.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_log_that_is_down_says_that_nothing_was_written,
                        log_at_work)
{
    log.apply({"log", "down", 0});
    auto const it = base::capture([&] { return service.append("jobs", "x"); });
    BOOST_REQUIRE(!it.has_value());
    BOOST_CHECK(it.error().code == base::failure_code::unavailable);
    log.apply({"log", "up", 0});
    auto const page =
        base::capture([&] { return service.read("jobs", 0, 10, 0s); });
    BOOST_TEST(page.value().next == 0);
}

BOOST_AUTO_TEST_CASE(appends_over_the_limit_are_refused)
{
    stand_ins::history seen{""};
    stand_ins::log_stand_in log{{10, 100, 60, 1}, seen};
    platform::http_log_service service{
        std::make_shared<platform::http_pool>(),
        "127.0.0.1:" + std::to_string(log.start(0)), 2s};
    auto const first = base::capture([&] { return service.append("a", "x"); });
    auto const second = base::capture([&] { return service.append("a", "x"); });
    BOOST_TEST(first.has_value());
    BOOST_REQUIRE(!second.has_value());
    BOOST_CHECK(second.error().code == base::failure_code::unavailable);
}

namespace
{

struct worker_at_work
{
    stand_ins::history seen{""};
    stand_ins::checkpoint_store checkpoints;
    stand_ins::worker_stand_in worker{model::endpoint{}, 7h,  0s, 1.0,
                                      checkpoints,       seen};

    platform::worker_request request(std::int64_t lease)
    {
        platform::worker_request it;
        it.epoch = 5;
        it.starts = {{{{"j", 0}, 1},
                      "c",
                      "n",
                      {9, 9, 9},
                      R"({"run_s":60})",
                      worker.exchange({})->clock + lease}};
        return it;
    }
};

constexpr std::int64_t s_long_lease = 60'000'000;

} // namespace

BOOST_FIXTURE_TEST_CASE(a_worker_starts_what_does_not_fit, worker_at_work)
{
    auto const answer = worker.exchange(request(s_long_lease));
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST(answer->running.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_worker_refuses_a_lapsed_start, worker_at_work)
{
    auto const answer = worker.exchange(request(0));
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST(answer->running.empty());
    BOOST_REQUIRE(answer->finished.size() == 1U);
    BOOST_CHECK(answer->finished[0].end == model::task_end::lapsed);
}

BOOST_FIXTURE_TEST_CASE(a_worker_refuses_an_older_epoch, worker_at_work)
{
    BOOST_TEST(worker.exchange(request(s_long_lease)).has_value());
    platform::worker_request older;
    older.epoch = 4;
    BOOST_TEST(!worker.exchange(older).has_value());
}

BOOST_FIXTURE_TEST_CASE(a_result_is_kept_until_acknowledged, worker_at_work)
{
    auto started = request(s_long_lease);
    BOOST_TEST(worker.exchange(started).has_value());
    platform::worker_request stop;
    stop.epoch = 5;
    stop.stops = {started.starts[0].attempt};
    BOOST_TEST(worker.exchange(stop)->finished.size() == 1U);
    // The answer is lost; the next one has it again.
    platform::worker_request nothing;
    nothing.epoch = 5;
    BOOST_TEST(worker.exchange(nothing)->finished.size() == 1U);
    nothing.acknowledged = stop.stops;
    BOOST_TEST(worker.exchange(nothing)->finished.empty());
}

BOOST_AUTO_TEST_SUITE_END()
