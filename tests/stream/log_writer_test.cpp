#include "fake_log.hpp"

#include <stream/log_reader.hpp>
#include <stream/log_writer.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <optional>
#include <ostream>

using namespace berylhill;
using namespace berylhill::stream;

namespace
{

constexpr base::duration s_tick = std::chrono::milliseconds{10};

/// A writer on a scripted log in virtual time.
struct bench
{
    fake_log log;
    base::manual_clock clock;
    writer_options options{.writer = "w"};
    std::optional<log_writer> writer;

    void start()
    {
        writer.emplace(log, clock, "s", options);
    }

    std::optional<base::outcome<position>>& append(std::string const& text)
    {
        auto& end = ends.emplace_back();
        writer->append(Json::Value{text}, [&end](auto const& it) { end = it; });
        return end;
    }

    void run(base::duration span)
    {
        for (auto const until = clock.now() + span; clock.now() < until;
             clock.advance(s_tick))
        {
            writer->step({});
        }
    }

    /// The texts that a reader sees, from the log's beginning.
    std::vector<std::string> visible()
    {
        log_reader reader{log, clock, "s"};
        auto const page = base::capture([&] { return reader.poll({}); });
        std::vector<std::string> texts;
        for (auto const& it : page.value().entries)
        {
            texts.push_back(it.value.asString());
        }
        return texts;
    }

    std::deque<std::optional<base::outcome<position>>> ends;
};

struct script
{
    char const* name;
    std::vector<fault> faults;
};

std::ostream& operator<<(std::ostream& out, script const& it)
{
    return out << it.name;
}

std::array const s_scripts{
    script{"all is well", {}},
    script{"one refusal", {fault::down}},
    script{"answer lost before the effect", {fault::lost_before}},
    script{"answer lost after the effect", {fault::lost_after}},
    script{"effect delayed past the fence", {fault::overtaken}},
    script{"effect delayed to just before the fence", {fault::late}},
    script{"late, and the fence's answer lost",
           {fault::late, fault::lost_after}},
    script{"late, and the fence refused", {fault::late, fault::down}},
    script{"fence lost too", {fault::lost_before, fault::lost_before}},
    script{"fence written, its answer lost",
           {fault::lost_before, fault::lost_after}},
    script{"fence refused", {fault::overtaken, fault::down}},
    script{"fence delayed", {fault::lost_before, fault::overtaken}},
    script{"two writes delayed",
           {fault::overtaken, fault::none, fault::overtaken}},
};

} // namespace

BOOST_AUTO_TEST_SUITE(writer)

// A customer's report job is accepted twice, or is said to be refused and then
// runs: the log took the append, but the answer was lost, and the entry either
// wrote it again or gave up. Whatever happens to the appends, a reader sees
// each entry exactly once and the caller is told that it was written.
BOOST_DATA_TEST_CASE(each_entry_is_written_once, s_scripts, it)
{
    bench at;
    at.log.faults.assign(it.faults.begin(), it.faults.end());
    at.start();
    auto const& one = at.append("one");
    at.run(std::chrono::milliseconds{300});
    auto const& two = at.append("two");
    at.run(std::chrono::seconds{2});
    BOOST_REQUIRE(one.has_value());
    BOOST_REQUIRE(two.has_value());
    BOOST_TEST(one->has_value());
    BOOST_TEST(two->has_value());
    BOOST_TEST(at.visible() == (std::vector<std::string>{"one", "two"}),
               boost::test_tools::per_element());
}

// The platform's log is down for ten minutes. Callers must hear at once that
// nothing was written and when to come back, and nothing that was said to be
// refused may turn up when the log is back.
BOOST_AUTO_TEST_CASE(an_outage_refuses_at_once_and_ends)
{
    bench at;
    at.log.faults.assign(2'000, fault::down);
    at.start();
    auto const& first = at.append("first");
    at.run(std::chrono::seconds{2});
    BOOST_REQUIRE(first.has_value());
    BOOST_TEST(base::name_of(first->error().code) == "unavailable");
    BOOST_TEST(at.writer->down());
    auto const& second = at.append("second");
    BOOST_REQUIRE(second.has_value());
    BOOST_TEST(base::name_of(second->error().code) == "unavailable");
    BOOST_TEST(second->error().retry_after_s > 0);
    at.run(std::chrono::minutes{10});
    at.log.faults.clear();
    at.run(std::chrono::seconds{2});
    BOOST_TEST(!at.writer->down());
    auto const& third = at.append("third");
    at.run(std::chrono::seconds{1});
    BOOST_REQUIRE(third.has_value());
    BOOST_TEST(third->has_value());
    BOOST_TEST(at.visible() == std::vector<std::string>{"third"},
               boost::test_tools::per_element());
}

// The log goes down with an append under way, so nobody can tell what became
// of it. The caller must not be told "not written"; the truth comes when the
// log is back.
BOOST_AUTO_TEST_CASE(what_was_under_way_waits_for_the_truth)
{
    bench at;
    at.log.faults = {fault::overtaken};
    at.start();
    auto const& end = at.append("one");
    at.run(s_tick * 3);
    at.log.reads_are_down = true;
    at.run(std::chrono::minutes{1});
    BOOST_TEST(!end.has_value());
    BOOST_TEST(at.writer->down());
    at.log.reads_are_down = false;
    at.run(std::chrono::seconds{3});
    BOOST_REQUIRE(end.has_value());
    BOOST_TEST(end->has_value());
    BOOST_TEST(at.visible() == std::vector<std::string>{"one"},
               boost::test_tools::per_element());
}

// The log is slow at month's end and submissions pile up. Memory must not grow
// with them: past the bound they are refused, with an honest time to come back.
BOOST_AUTO_TEST_CASE(a_full_queue_refuses)
{
    bench at;
    at.options.most_pending = 3;
    at.start();
    for (int i = 0; i < 3; ++i)
    {
        BOOST_TEST(!at.append("waits").has_value());
    }
    auto const& refused = at.append("too many");
    BOOST_REQUIRE(refused.has_value());
    BOOST_TEST(base::name_of(refused->error().code) == "refused");
    BOOST_TEST(refused->error().retry_after_s > 0);
}

// Nine instances share what the log takes. A burst of submissions must go into
// few appends, and a single one must not wait for company.
BOOST_AUTO_TEST_CASE(a_burst_is_committed_together)
{
    bench at;
    at.options.appends_per_s = 10;
    at.start();
    auto const& first = at.append("0");
    at.run(s_tick * 3);
    BOOST_TEST(first.has_value());
    for (int i = 1; i < 100; ++i)
    {
        (void)at.append(std::to_string(i));
    }
    at.run(std::chrono::milliseconds{200});
    BOOST_TEST(at.visible().size() == 100U);
    BOOST_TEST(at.writer->appends() <= 3U);
}

BOOST_AUTO_TEST_CASE(a_stop_tells_each_caller)
{
    bench at;
    at.log.faults.assign(100, fault::down);
    at.start();
    auto const& end = at.append("one");
    std::stop_source stop;
    stop.request_stop();
    at.writer->run(stop.get_token(), {});
    BOOST_REQUIRE(end.has_value());
    BOOST_TEST(base::name_of(end->error().code) == "unavailable");
    auto const& late = at.append("late");
    BOOST_REQUIRE(late.has_value());
    BOOST_TEST(!late->has_value());
}

BOOST_AUTO_TEST_SUITE_END()
