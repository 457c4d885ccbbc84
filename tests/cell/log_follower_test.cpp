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
            [this](std::string const& key, std::string const& value, auto)
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

BOOST_AUTO_TEST_CASE(newest_record_of_each_key_is_followed)
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

/// Guards against an accepted job that the next owner does not know, because it
/// was written while the records were read page by page, under a key on an
/// earlier page.
BOOST_AUTO_TEST_CASE(record_written_between_pages_is_read)
{
    log.page = 1;
    log.put({{"a", "1"}, {"b", "1"}, {"c", "1"}});
    log.between_pages = {{"a", "2"}, {"aa", "1"}, {"c", {}}};
    follower.start();
    run();
    BOOST_TEST((seen == map{{"a", "2"}, {"aa", "1"}, {"b", "1"}}));
}

/// Guards against a new owner that never gets through its records: a page was
/// lost on a loaded link, and the reading began anew each time.
BOOST_AUTO_TEST_CASE(a_lost_page_is_read_again_by_itself)
{
    log.page = 1;
    log.put({{"a", "1"}, {"b", "1"}, {"c", "1"}, {"d", "1"}});
    log.pages_to_lose = {2};
    follower.start();
    run(260);
    BOOST_TEST((seen == map{{"a", "1"}, {"b", "1"}, {"c", "1"}, {"d", "1"}}));
    BOOST_TEST(log.pages == 5U);
}

BOOST_AUTO_TEST_CASE(trimmed_log_is_read_again)
{
    log.put({{"a", "1"}, {"b", "1"}});
    follower.start();
    run();
    log.put({{"a", {}}, {"c", "1"}});
    log.first = 4;
    run();
    BOOST_TEST((seen == map{{"b", "1"}, {"c", "1"}}));
}

/// Guards against a process that reads large records again that it has as a
/// copy.
BOOST_AUTO_TEST_CASE(records_before_a_copy_are_not_read)
{
    log.put({{"a", "1"}, {"b", "1"}});
    // A reading that has not ended is given up.
    log.page_delay = std::chrono::milliseconds{40};
    follower.start();
    run(2);
    follower.start_at(2);
    log.put({{"b", "2"}});
    run();
    BOOST_TEST((seen == map{{"b", "2"}}));
    BOOST_TEST(follower.ready());
    BOOST_TEST(follower.next_offset() == 3U);
    // Where the log was trimmed, all is read.
    log.put({{"b", {}}, {"c", "1"}});
    log.first = 5;
    follower.start_at(3);
    run(40);
    BOOST_TEST((seen == map{{"a", "1"}, {"c", "1"}}));
}

BOOST_AUTO_TEST_CASE(catching_up_reports_the_end)
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

/// Guards against tasks that are started on instances that leave: a slow owner
/// got everything it had missed in one answer, too late for its deadline, and
/// each later answer was larger.
BOOST_AUTO_TEST_CASE(backlog_is_read_in_parts)
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

/// Guards against a claim that is delayed repeatedly after the loss of an
/// owner: the log is longer than one read, and a read that ended before the end
/// of the log was treated as failed.
BOOST_AUTO_TEST_CASE(catching_up_reads_to_the_end)
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

/// Guards against a cell of small machines that never gets an owner: a page of
/// the records takes longer on their links than the timeout of a read, which
/// never grew.
BOOST_AUTO_TEST_CASE(slow_page_gets_a_longer_timeout)
{
    log.put({{"a", "1"}});
    log.page_delay = std::chrono::milliseconds{1'500};
    follower.start();
    loop.run_for(std::chrono::seconds{3});
    BOOST_TEST(follower.ready());
    BOOST_TEST(log.pages_lost == 1U);
}

/// As above, on a slow link: a page that makes progress is not given up.
BOOST_AUTO_TEST_CASE(page_that_makes_progress_is_not_given_up)
{
    constexpr std::size_t bytes = 3'000;
    log.put({{"a", std::string(bytes, 'x')}});
    log.link_bytes_per_s = 2'000;
    follower.start();
    loop.run_for(std::chrono::seconds{2});
    BOOST_TEST(follower.ready());
    BOOST_TEST(log.pages_lost == 0U);
}

/// Guards against a removed route that is served forever: the store returns
/// nothing of a record larger than the requested size, and each such read
/// counted as complete.
BOOST_AUTO_TEST_CASE(record_larger_than_the_size_limit_is_read)
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

/// Records that are known from another source are not read again over a slow
/// link.
BOOST_AUTO_TEST_CASE(read_of_skipped_records_is_cancelled)
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

/// Guards against a version that is considered the newest although the log has
/// a newer one: a read that ended before the end of the log counted as
/// complete.
BOOST_AUTO_TEST_CASE(partial_read_does_not_report_the_end)
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
