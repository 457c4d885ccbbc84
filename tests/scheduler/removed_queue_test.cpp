#include "scheduler_fixture.hpp"

#include <scheduler/queue_row.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>

using namespace berylhill;
using namespace berylhill::scheduler_test;
using scheduler::end_reason;
using scheduler::job_phase;
using std::chrono::milliseconds;

namespace
{

/// How far the job is when its owner is lost.
enum class progress : std::uint8_t
{
    accepted,
    first_step_runs,
    first_step_done,
    failed_once,
};

struct removed_case
{
    char const* story;
    progress at;
    bool gang{false};
    bool lasting{false};
    bool repeated{false};
    bool partitioned{false};
};

std::ostream& operator<<(std::ostream& to, removed_case const& it)
{
    return to << it.story;
}

removed_case const removed_cases[] = {
    {"nothing has started", progress::accepted},
    {"its first step runs", progress::first_step_runs},
    {"its first step is done", progress::first_step_done},
    {"a task has failed once of twice", progress::failed_once},
    {"a gang", progress::accepted, true},
    {"a gang has failed once", progress::failed_once, true},
    {"a long-running task", progress::failed_once, false, true},
    {"a repeated job", progress::first_step_done, false, false, true},
    {"a partitioned state", progress::first_step_done, false, false, false,
     true},
};

constexpr std::uint32_t many_tasks = 100;

workload::job_spec job_of(removed_case const& it)
{
    auto out = scheduler_fixture::job(1, it.partitioned ? many_tasks : 1, 10);
    out.steps[0].need.memory_mb = 10;
    out.steps[0].gang = it.gang;
    out.steps[0].long_running = it.lasting;
    auto second = out.steps[0];
    second.depends_on = {0};
    out.steps.push_back(second);
    if (it.repeated)
    {
        out.repeats = {2, 0, 1'000};
    }
    return out;
}

/// Plays the job up to the point of the case; returns its last end.
void play(scheduler_fixture& it, removed_case const& of)
{
    it.list("a");
    it.report("a");
    it.decisions.submit(job_of(of), 0, it.now);
    it.decisions.tick(0, it.now);
    if (of.at == progress::accepted)
    {
        (void)it.store();
        return;
    }
    auto const starts = it.starts();
    BOOST_TEST_REQUIRE(!starts.empty());
    std::vector<scheduler::ended_attempt_report> ended;
    ended.reserve(starts.size());
    auto const how =
        of.at == progress::failed_once ? end_reason::failed : end_reason::done;
    for (auto const& start : starts)
    {
        it.confirm(start);
        ended.push_back({ended.size() + 1, start.attempt, how, {}});
    }
    if (of.at != progress::first_step_runs)
    {
        it.advance(milliseconds{100});
        it.report("a", {}, ended);
        (void)it.store();
    }
}

/// An owner that knows the records of the former one and a configuration.
scheduler_fixture next_owner(scheduler_fixture const& former,
                             workload::cell_configuration const& in_force)
{
    return scheduler_fixture{former.records, scheduler_fixture::rules(),
                             former.now, in_force};
}

/// Without the queue, and with none that uses its service.
workload::cell_configuration without_queue()
{
    auto out = scheduler_fixture::configuration("other", {"other"});
    out.queues.front().name = "another queue";
    return out;
}

scheduler::instance const& instance_of(scheduler_fixture& it)
{
    return *it.decisions.instances().share("a");
}

} // namespace

BOOST_AUTO_TEST_SUITE(removed_queues)

/// Guards against accepted jobs that never go on, or are failed after one
/// attempt: their queue was removed, and a new owner knew nothing of it.
BOOST_DATA_TEST_CASE(a_job_of_a_removed_queue_goes_on_under_a_new_owner,
                     boost::unit_test::data::make(removed_cases))
{
    scheduler_fixture former;
    play(former, sample);
    auto it = next_owner(former, without_queue());
    it.list("a");
    BOOST_TEST(it.decisions.may_call(instance_of(it), it.now));
    it.advance(milliseconds{100});
    it.report("a");
    it.decisions.tick(0, it.now);
    BOOST_TEST(!it.starts().empty());
    BOOST_TEST((it.decisions.phase_of({1}) != job_phase::failed));
}

/// Guards against one more attempt, or one fewer, than the queue allowed.
BOOST_AUTO_TEST_CASE(a_removed_queue_allows_its_number_of_attempts)
{
    scheduler_fixture former;
    play(former, {"", progress::failed_once});
    auto it = next_owner(former, without_queue());
    it.list("a");
    it.report("a");
    auto const start = it.starts().at(0);
    it.confirm(start);
    it.advance(milliseconds{100});
    it.report("a", {}, {{2, start.attempt, end_reason::failed, {}}});
    BOOST_TEST(it.starts().empty());
    BOOST_TEST((it.decisions.phase_of({1}) == job_phase::failed));
}

/// Guards against starts by a queue of the past: what the configuration in
/// force says goes first, and of a removed queue what the newest job says.
BOOST_AUTO_TEST_CASE(the_newest_knowledge_of_a_queue_holds)
{
    scheduler_fixture former;
    former.decisions.submit(scheduler_fixture::job(1, 1), 1'000, former.now);
    former.move_queue("other");
    former.decisions.submit(scheduler_fixture::job(2, 1), 2'000, former.now);
    (void)former.store();
    for (auto const& in_force :
         {scheduler_fixture::configuration("other"), without_queue()})
    {
        auto it = next_owner(former, in_force);
        it.list_as("a", "svc", "kind");
        it.list_as("b", "other", "kind");
        it.report("a");
        it.report("b");
        auto const starts = it.starts();
        BOOST_TEST(starts.size() == 2U);
        for (auto const& start : starts)
        {
            BOOST_TEST(start.instance == "b");
        }
    }
}

/// Guards against accepted jobs that are lost with the record of their queue: a
/// release that wrote none, or wrote it in another form.
BOOST_AUTO_TEST_CASE(a_job_without_a_readable_queue_waits_for_its_queue)
{
    char const* const rows[] = {"", R"("k":[],)", R"("k":["svc",2],)",
                                R"("k":[7,2,2.0,0,1],)",
                                R"("k":["svc",2,"x",0,1],)"};
    for (auto const* const row : rows)
    {
        scheduler_fixture former;
        former.records["j:0000000000000001"] =
            std::string{R"({"q":"q","a":1,"p":"p",)"} + row +
            R"("s":[{"n":1,"c":1000,"m":100,"e":1000}]})";
        auto it = next_owner(former, without_queue());
        it.list("a");
        it.report("a");
        BOOST_TEST(it.starts().empty());
        it.move_queue("svc");
        BOOST_TEST(it.starts().size() == 1U);
    }
}

/// Guards against other decisions under a new owner: all that matters of a
/// queue is kept.
BOOST_DATA_TEST_CASE(a_queue_survives_a_round_trip,
                     boost::unit_test::data::make({false, true}),
                     advised)
{
    workload::queue_spec it;
    it.name = "q";
    it.service = "svc";
    it.target_latency = milliseconds{1'500};
    it.priority = 3;
    it.max_attempts = 4;
    it.stretch = 2.25;
    if (advised)
    {
        it.advice = {milliseconds{800}, base::duration{1'500}, milliseconds{9}};
    }
    auto const text = boost::json::serialize(scheduler::queue_row(it));
    auto const read =
        scheduler::queue_in(boost::json::parse(text).as_array(), "q");
    BOOST_TEST_REQUIRE(read != nullptr);
    BOOST_TEST((*read == it));
}

BOOST_AUTO_TEST_SUITE_END()
