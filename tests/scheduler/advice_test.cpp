#include "advised_cell.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <set>
#include <string>
#include <tuple>

using namespace berylhill;
using namespace berylhill::scheduler_test;
using std::chrono::milliseconds;

namespace
{

struct size_case
{
    char const* story;
    std::uint32_t tasks;
    bool is_gang;
    std::size_t full;
    /// 0 if no request is sent.
    std::size_t named;
};

std::ostream& operator<<(std::ostream& to, size_case const& it)
{
    return to << it.story;
}

size_case const sizes[] = {
    {"one task names the minimum", 1, false, 0, 12},
    {"many tasks name room for three times as many", 40, false, 0, 60},
    {"the names take no longer than the decision", 50, false, 0, 70},
    {"no request about a full cell", 1, false, 80, 0},
    {"in a nearly full cell instances with room", 1, false, 77, 3},
    {"a small gang names room for twelve times as many", 6, true, 0, 72},
    {"a tiny gang names the minimum of gangs", 1, true, 0, 24},
    {"a large gang names all instances", 40, true, 0, 80},
};

} // namespace

BOOST_AUTO_TEST_SUITE(advice)

/// Guards against urgent work waiting for seconds although there is room: steps
/// without room repeatedly requested advice about the whole cell from a service
/// that answers one request at a time.
BOOST_DATA_TEST_CASE(requests_name_only_usable_instances,
                     boost::unit_test::data::make(sizes))
{
    advised_cell it{80};
    if (sample.full > 0)
    {
        it.fill(sample.full);
    }
    auto const job = sample.is_gang ? gang(1, sample.tasks)
                                    : scheduler_fixture::job(1, sample.tasks);
    it.decisions.submit(job, 0, it.now);
    auto const asked = it.advice_requests();
    if (sample.named == 0)
    {
        BOOST_TEST(asked.empty());
        return;
    }
    BOOST_REQUIRE(asked.size() == 1U);
    BOOST_TEST(asked[0].instances.size() == sample.named);
    // No other request is sent before the answer.
    it.advance(milliseconds{50});
    BOOST_TEST(it.advice_requests().empty());
}

/// While a gang waits for room its tickets expire. It requests new ones when
/// its room is free, and only for instances it may use.
BOOST_AUTO_TEST_CASE(a_gang_renews_its_tickets_when_its_room_is_free)
{
    advised_cell it{10};
    it.fill(10);
    it.decisions.submit(gang(1, 4), 0, it.now);
    auto const first = it.advice_requests();
    BOOST_REQUIRE(first.size() == 1U);
    BOOST_TEST(first[0].instances.size() == 10U);
    it.answer(first[0], 6);
    it.advance(validity + milliseconds{500});
    BOOST_TEST(it.advice_requests().empty());
    for (auto const& id : first[0].instances)
    {
        std::vector<scheduler::ended_attempt_report> ended;
        for (auto const& [name, attempt] :
             it.decisions.instances().all().at(id)->attempts())
        {
            ended.push_back({1, name, scheduler::end_reason::done, {}});
        }
        it.report(id, {}, ended);
    }
    it.advance(milliseconds{200});
    auto const second = it.advice_requests();
    BOOST_REQUIRE(second.size() == 1U);
    BOOST_TEST(second[0].instances.size() <= 6U);
    for (auto const& id : second[0].instances)
    {
        auto const at = std::ranges::find(first[0].instances, id);
        BOOST_TEST((at - first[0].instances.begin() < 6));
    }
    it.answer(second[0], 6);
    BOOST_TEST(it.starts().size() == 4U);
}

/// Guards against a late gang in a cell that is never quite empty: each slot
/// that became free went to longer tasks.
BOOST_AUTO_TEST_CASE(instances_reserved_for_a_gang_stay_reserved)
{
    advised_cell it{8};
    it.fill(7);
    it.decisions.submit(gang(1, 4), 0, it.now);
    auto const asked = it.advice_requests();
    BOOST_REQUIRE(asked.size() == 1U);
    it.answer(asked[0], 8);
    BOOST_TEST(it.starts().empty());
    // The gang's room is free when the other tasks end, in 5 s.
    auto later = scheduler_fixture::job(2, 1);
    later.queue = "free";
    later.steps[0].estimate_ms = 6'000;
    it.decisions.submit(later, 0, it.now);
    BOOST_TEST(it.starts().empty());
    auto passing = scheduler_fixture::job(3, 1);
    passing.queue = "free";
    passing.steps[0].estimate_ms = 500;
    it.decisions.submit(passing, 0, it.now);
    BOOST_TEST(it.starts().size() == 1U);
    auto done_before = scheduler_fixture::job(4, 1);
    done_before.queue = "free";
    done_before.steps[0].estimate_ms = 4'000;
    it.decisions.submit(done_before, 0, it.now);
    BOOST_TEST(it.starts().size() == 1U);
}

/// Guards against batch work whose requests are always served after those of
/// gangs, until it is late too.
BOOST_AUTO_TEST_CASE(a_request_with_time_to_spare_is_not_postponed_forever)
{
    advised_cell it{20};
    it.decisions.submit(scheduler_fixture::job(1, 4), 0, it.now);
    auto const asked = it.advice_requests();
    BOOST_REQUIRE(asked.size() == 1U);
    BOOST_TEST((asked[0].needed_by - it.now <= 16 * asked[0].expected));
}

/// Guards against an unresponsive owner during a burst of gangs: one round
/// examined all instances for each of them.
BOOST_AUTO_TEST_CASE(a_round_is_bounded_and_continues_in_the_next_one)
{
    constexpr std::uint64_t gangs = 300;
    advised_cell it{250};
    for (std::uint64_t n = 1; n <= gangs; ++n)
    {
        it.decisions.submit(gang(n, 2), 0, it.now);
    }
    std::set<workload::job_id> asked;
    auto rounds = 0;
    do
    {
        ++rounds;
        for (auto const& request : it.advice_requests())
        {
            asked.insert(request.step.job);
        }
    } while (!it.decisions.round_complete());
    BOOST_TEST(rounds > 2);
    BOOST_TEST(rounds < 10);
    BOOST_TEST(asked.size() == gangs);
}

/// Guards against late starts while thousands of steps wait: new work was
/// examined only when the rounds had reached the last step.
BOOST_AUTO_TEST_CASE(urgent_work_does_not_wait_for_the_last_step)
{
    constexpr std::uint64_t gangs = 300;
    advised_cell it{250};
    for (std::uint64_t n = 1; n <= gangs; ++n)
    {
        it.decisions.submit(gang(n, 2), 0, it.now);
    }
    BOOST_REQUIRE(!it.advice_requests().empty());
    BOOST_REQUIRE(!it.decisions.round_complete());
    auto urgent = scheduler_fixture::job(gangs + 1, 1);
    urgent.queue = "free";
    it.decisions.submit(urgent, 0, it.now);
    BOOST_TEST(it.starts().size() == 1U);
    BOOST_TEST(!it.decisions.round_complete());
}

/// Guards against a job that stalls although there is room. It was rejected
/// while the store was unavailable and submitted again; the answer to a request
/// of the first submission was counted with those of the second, so that a
/// request seemed to be open forever.
BOOST_AUTO_TEST_CASE(an_answer_to_a_withdrawn_submission_does_not_stop_requests)
{
    advised_cell it{80};
    it.decisions.submit(scheduler_fixture::job(1, 4), 0, it.now);
    auto const first = it.advice_requests();
    BOOST_REQUIRE(first.size() == 1U);
    BOOST_REQUIRE(it.decisions.withdraw({1}));
    it.decisions.submit(scheduler_fixture::job(1, 4), 0, it.now);
    auto const second = it.advice_requests();
    BOOST_REQUIRE(second.size() == 1U);
    it.answer(first[0], 0);
    it.answer(second[0], 0);
    it.advance(milliseconds{200});
    BOOST_TEST(it.advice_requests().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
