#include "fake_log.hpp"

#include <stream/log_writer.hpp>

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <thread>
#include <vector>

using namespace berylhill;
using namespace berylhill::stream;

BOOST_AUTO_TEST_SUITE(threads)

// Many requests submit at once while the writing thread commits and, at the
// end, stops: each of them gets exactly one answer.
BOOST_AUTO_TEST_CASE(each_entry_is_answered_once)
{
    constexpr int s_threads = 4;
    constexpr int s_entries = 500;
    fake_log log;
    base::system_clock const clock;
    writer_options options;
    options.writer = "w";
    options.appends_per_s = 1'000;
    log_writer writer{log, clock, "s", options};
    std::atomic<int> answers{0};
    std::atomic<int> written{0};
    std::jthread writing{[&](std::stop_token const& stop)
                         {
                             writer.run(stop);
                         }};
    {
        std::vector<std::jthread> callers;
        callers.reserve(s_threads);
        for (int i = 0; i < s_threads; ++i)
        {
            callers.emplace_back(
                [&]
                {
                    for (int n = 0; n < s_entries; ++n)
                    {
                        writer.append(Json::Value{n},
                                      [&](auto const& it)
                                      {
                                          ++answers;
                                          written += it.has_value() ? 1 : 0;
                                      });
                    }
                });
        }
    }
    writing.request_stop();
    writing.join();
    BOOST_TEST(answers.load() == s_threads * s_entries);
    BOOST_TEST(written.load() == s_threads * s_entries);
    BOOST_TEST(writer.pending() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
