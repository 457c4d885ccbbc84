#include "fake_log.hpp"

#include <cell/log_follower.hpp>

#include <boost/test/unit_test.hpp>

#include <map>
#include <optional>
#include <string>

using namespace berylhill;
using namespace berylhill::cell_test;

namespace
{

struct fixture
{
    fixture()
    {
        follower.on_change(
            [this](std::string const& key, std::string const& value)
            {
                if (value.empty())
                {
                    seen.erase(key);
                    return;
                }
                seen[key] = value;
            });
    }

    void run(int moments = 20)
    {
        for (int n = 0; n < moments; ++n)
        {
            loop.restart();
            loop.run_for(std::chrono::milliseconds{5});
        }
    }

    boost::asio::io_context loop;
    base::system_clock clock;
    fake_log log{loop};
    cell::log_follower follower{
        loop,
        clock,
        log,
        "test",
        {base::duration{0}, std::chrono::milliseconds{5},
         std::chrono::milliseconds{100}, std::chrono::milliseconds{5}}};
    std::map<std::string, std::string> seen;
};

using map = std::map<std::string, std::string>;

} // namespace

BOOST_FIXTURE_TEST_SUITE(log_follower, fixture)

BOOST_AUTO_TEST_CASE(it_keeps_up_with_the_newest_of_each_key)
{
    log.put({{"a", "1"}, {"b", "1"}, {"a", "2"}});
    follower.start();
    run();
    BOOST_TEST((seen == map{{"a", "2"}, {"b", "1"}}));
    log.put({{"b", {}}, {"c", "1"}});
    run();
    BOOST_TEST((seen == map{{"a", "2"}, {"c", "1"}}));
    BOOST_TEST(follower.next_offset() == 5U);
}

/// A user's job that was accepted is unknown to the next owner. It was written
/// while the records were read page by page, under a key that had passed.
BOOST_AUTO_TEST_CASE(what_is_written_between_pages_is_read_too)
{
    log.page = 1;
    log.put({{"a", "1"}, {"b", "1"}, {"c", "1"}});
    log.between_pages = {{"a", "2"}, {"aa", "1"}, {"c", {}}};
    follower.start();
    run();
    BOOST_TEST((seen == map{{"a", "2"}, {"aa", "1"}, {"b", "1"}}));
}

BOOST_AUTO_TEST_CASE(a_dropped_history_is_read_anew)
{
    log.put({{"a", "1"}, {"b", "1"}});
    follower.start();
    run();
    log.put({{"a", {}}, {"c", "1"}});
    log.first = 4;
    run();
    BOOST_TEST((seen == map{{"b", "1"}, {"c", "1"}}));
}

BOOST_AUTO_TEST_CASE(catching_up_says_when_the_end_is_reached)
{
    log.put({{"a", "1"}});
    follower.start();
    run();
    log.put({{"b", "1"}});
    std::optional<bool> done;
    follower.catch_up([&](bool it) { done = it; });
    run();
    BOOST_REQUIRE(done.has_value());
    BOOST_TEST(*done);
    BOOST_TEST(follower.next_offset() == 2U);
    follower.stop();
    done.reset();
    follower.catch_up([&](bool it) { done = it; });
    BOOST_REQUIRE(done.has_value());
    BOOST_TEST(!*done);
}

/// Tasks go on being started on instances that leave. The owner's processor
/// was short, an answer with all that it had missed came in too many pieces
/// for its deadline, and each later one was larger.
BOOST_AUTO_TEST_CASE(a_long_backlog_is_read_in_small_parts)
{
    follower.start();
    run();
    std::size_t const size = 50'000;
    for (char key = 'a'; key <= 'h'; ++key)
    {
        log.put({{std::string(1, key), std::string(size, 'x')}});
    }
    run(60);
    BOOST_TEST(seen.size() == 8U);
    BOOST_TEST(log.largest_read <= std::size_t{128} * 1024);
}

/// A claim after the loss of an owner is put off again and again: the log is
/// longer than one read, and a read that ends before the end of the log was
/// taken for one that fails.
BOOST_AUTO_TEST_CASE(catching_up_reads_on_until_the_end)
{
    follower.start();
    run();
    for (char key = 'a'; key <= 'h'; ++key)
    {
        log.put({{std::string(1, key), std::string(50'000, 'x')}});
    }
    std::optional<bool> done;
    follower.catch_up([&](bool it) { done = it; });
    run();
    BOOST_REQUIRE(done.has_value());
    BOOST_TEST(*done);
    BOOST_TEST(follower.next_offset() == 8U);
}

/// The last machines that are left are small, and none of them ever takes the
/// work over: a page of the records takes longer on their links than a read is
/// given, however often it is read again.
BOOST_AUTO_TEST_CASE(a_page_that_takes_long_is_given_more_time)
{
    log.put({{"a", "1"}});
    log.page_delay = std::chrono::milliseconds{1'500};
    follower.start();
    loop.run_for(std::chrono::seconds{3});
    BOOST_TEST(follower.ready());
    BOOST_TEST(log.pages_lost == 1U);
}

/// The same, where the link is slow: a page that keeps coming is not given up
/// at all.
BOOST_AUTO_TEST_CASE(a_page_that_keeps_coming_is_not_given_up)
{
    constexpr std::size_t bytes = 3'000;
    log.put({{"a", std::string(bytes, 'x')}});
    log.link_bytes_per_s = 2'000;
    follower.start();
    loop.run_for(std::chrono::seconds{2});
    BOOST_TEST(follower.ready());
    BOOST_TEST(log.pages_lost == 0U);
}

/// A route that was taken out is served for good, and each read says that all
/// is read: the store gives nothing of a record that is larger than what was
/// asked for.
BOOST_AUTO_TEST_CASE(a_record_larger_than_a_read_is_asked_for)
{
    std::vector<base::instant> ends;
    follower.on_end_reached([&](base::instant it) { ends.push_back(it); });
    log.strict_size = true;
    follower.start();
    run();
    ends.clear();
    log.put({{"config", std::string(400'000, 'x')}});
    auto const put_at = clock.now();
    run();
    BOOST_TEST(seen.contains("config"));
    BOOST_REQUIRE(!ends.empty());
    BOOST_TEST((ends.back() >= put_at));
}

/// What has come another way is not read again over a slow link.
BOOST_AUTO_TEST_CASE(a_read_of_what_is_known_is_broken_off)
{
    follower.start();
    run();
    log.link_bytes_per_s = 100'000;
    log.put({{"config", std::string(400'000, 'x')}});
    run();
    follower.skip_to(1);
    log.put({{"a", "1"}});
    run();
    BOOST_TEST(seen.size() == 1U);
    BOOST_TEST(seen["a"] == "1");
    BOOST_TEST(follower.next_offset() == 2U);
}

/// A version is taken for the newest though a newer one is in the log: a read
/// that stopped short of the end counted as one that reached it.
BOOST_AUTO_TEST_CASE(a_read_that_stops_short_has_not_reached_the_end)
{
    std::size_t told = 0;
    follower.on_end_reached(
        [&](base::instant)
        {
            ++told;
            BOOST_TEST(seen["config"] == "newest");
        });
    log.put({{"config", "old"}});
    log.put({{"other", std::string(200'000, 'x')}, {"config", "newest"}});
    follower.start();
    run();
    BOOST_TEST(told > 0U);
    log.put({{"config", std::string(200'000, 'y')}, {"config", "newest"}});
    run();
}

BOOST_AUTO_TEST_SUITE_END()
