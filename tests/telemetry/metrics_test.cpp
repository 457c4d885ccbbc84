#include <telemetry/metrics.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <thread>
#include <vector>

using namespace berylhill;

BOOST_AUTO_TEST_SUITE(metrics)

BOOST_AUTO_TEST_CASE(the_text_is_prometheus_exposition)
{
    telemetry::metrics all;
    all.counter("berylhill_calls_total", "Calls.", {{"contract", "a\"b"}})
        .add(3);
    all.gauge("berylhill_queue_calls", "Waiting calls.").set(2.5);
    auto const text = all.text();
    BOOST_TEST(text == "# HELP berylhill_calls_total Calls.\n"
                       "# TYPE berylhill_calls_total counter\n"
                       "berylhill_calls_total{contract=\"a\\\"b\"} 3\n"
                       "# HELP berylhill_queue_calls Waiting calls.\n"
                       "# TYPE berylhill_queue_calls gauge\n"
                       "berylhill_queue_calls 2.5\n");
}

BOOST_AUTO_TEST_CASE(a_histogram_is_cumulative_and_ends_at_infinity)
{
    telemetry::metrics all;
    auto& it = all.latency("berylhill_call_seconds", "Calls.");
    it.record(std::chrono::microseconds{10});
    it.record(std::chrono::milliseconds{20});
    it.record(std::chrono::seconds{500});
    auto const buckets = it.buckets();
    BOOST_TEST(std::is_sorted(buckets.begin(), buckets.end(),
                              [](auto const& a, auto const& b)
                              { return a.count < b.count; }));
    BOOST_TEST(buckets.front().count == 1U);
    BOOST_TEST(buckets.back().count == 3U);
    BOOST_TEST(std::isinf(buckets.back().upper_s));
    auto const text = all.text();
    BOOST_TEST(text.find("berylhill_call_seconds_bucket{le=\"+Inf\"} 3\n") !=
               std::string::npos);
    BOOST_TEST(text.find("berylhill_call_seconds_count 3\n") !=
               std::string::npos);
    BOOST_TEST(text.find("berylhill_call_seconds_sum 500.02001\n") !=
               std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_quantile_is_at_most_one_bucket_above_the_truth)
{
    telemetry::latency_histogram it;
    BOOST_TEST(it.quantile(0.5) == 0);
    for (int i = 1; i <= 1'000; ++i)
    {
        it.record(std::chrono::milliseconds{i});
    }
    auto const widest = std::pow(10.0, 0.2);
    BOOST_TEST(it.quantile(0.5) >= 0.5);
    BOOST_TEST(it.quantile(0.5) <= 0.5 * widest);
    BOOST_TEST(it.quantile(0.99) >= 0.99);
    BOOST_TEST(it.quantile(0.99) <= 0.99 * widest);
}

BOOST_AUTO_TEST_CASE(threads_lose_no_count)
{
    telemetry::metrics all;
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int i = 0; i < 4; ++i)
    {
        threads.emplace_back(
            [&]
            {
                for (int n = 0; n < 10'000; ++n)
                {
                    all.counter("berylhill_n_total", "N.").add();
                    all.latency("berylhill_n_seconds", "N.")
                        .record(std::chrono::milliseconds{5});
                }
            });
    }
    for (auto& it : threads)
    {
        it.join();
    }
    BOOST_TEST(all.counter("berylhill_n_total", "N.").value() == 40'000U);
    BOOST_TEST(
        all.latency("berylhill_n_seconds", "N.").buckets().back().count ==
        40'000U);
}

BOOST_AUTO_TEST_SUITE_END()
