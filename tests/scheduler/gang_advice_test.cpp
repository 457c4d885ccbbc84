#include "advised_cell.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <set>
#include <string>
#include <tuple>
#include <vector>

using namespace berylhill;
using namespace berylhill::scheduler_test;
using std::chrono::milliseconds;

namespace
{

struct widening_case
{
    char const* story;
    std::size_t machines;
    /// How long the running tasks occupy the cell.
    milliseconds full_for;
    bool asks_more;
};

std::ostream& operator<<(std::ostream& to, widening_case const& it)
{
    return to << it.story;
}

widening_case const widenings[] = {
    {"a gang that would be late requests more", 100, milliseconds{60'000},
     true},
    {"but not if the requesting machines are busy", 1, milliseconds{60'000},
     false},
    {"but not if its plan starts in time", 100, milliseconds{4'000}, false},
};

/// A full cell in which a gang knows 20 instances, 4 of them have become free,
/// and its request for their tickets is open.
struct tickets_asked_for : advised_cell
{
    tickets_asked_for()
        : advised_cell{40}
    {
        decisions.set_advice_machines(100);
        fill(40);
        decisions.submit(gang(1, 4), 0, now);
        auto const first = advice_requests();
        BOOST_REQUIRE(first.size() == 1U);
        answer(first[0], 20);
        advance(validity + milliseconds{500});
        known = first[0].instances;
        end_on({known.begin(), known.begin() + 4});
        advance(milliseconds{200});
        tickets = advice_requests();
        BOOST_REQUIRE(tickets.size() == 1U);
    }

    std::vector<std::string> known;
    std::vector<scheduler::advice_order> tickets;
};

} // namespace

BOOST_AUTO_TEST_SUITE(gang_advice)

/// Guards against sequential requests of a wide gang: each takes 1 s, so that
/// by the last answer the first tickets had expired.
BOOST_AUTO_TEST_CASE(a_wide_gang_sends_all_its_requests_at_once)
{
    advised_cell it{250};
    it.decisions.set_advice_machines(100);
    it.decisions.submit(gang(1, 40), 0, it.now);
    auto const asked = it.advice_requests();
    BOOST_REQUIRE(asked.size() == 3U);
    std::set<std::string> named;
    for (auto const& request : asked)
    {
        BOOST_TEST(request.instances.size() <= 84U);
        named.insert(request.instances.begin(), request.instances.end());
    }
    BOOST_TEST(named.size() == 250U);
    // The first answer is used before the others arrive.
    it.answer(asked[0], 40);
    BOOST_TEST(it.starts().size() == 40U);
}

/// Guards against a late gang that knows too few instances while others have
/// room. Where few machines can send requests, further requests of gangs must
/// not delay all other work.
BOOST_DATA_TEST_CASE(a_late_plan_requests_more_with_spare_capacity,
                     boost::unit_test::data::make(widenings))
{
    advised_cell it{200};
    it.decisions.set_advice_machines(sample.machines);
    auto filler = scheduler_fixture::job(900, 200, 4'000);
    filler.queue = "free";
    filler.steps[0].estimate_ms = sample.full_for.count();
    it.decisions.submit(filler, 0, it.now);
    for (auto const& each : it.starts())
    {
        it.confirm(each);
    }
    it.decisions.submit(gang(1, 4), 0, it.now);
    auto const first = it.advice_requests();
    BOOST_REQUIRE(first.size() == 1U);
    BOOST_REQUIRE(first[0].instances.size() < 100U);
    it.answer(first[0], 4);
    auto more = it.advice_requests();
    it.advance(milliseconds{200});
    auto const later = it.advice_requests();
    more.insert(more.end(), later.begin(), later.end());
    BOOST_TEST(!more.empty() == sample.asks_more);
}

/// Guards against late gangs that never start in an empty cell: after a burst
/// only one late gang has instances reserved, and the others, whose tickets had
/// expired while the cell was full, sent no more requests.
BOOST_AUTO_TEST_CASE(late_gangs_request_their_tickets_concurrently)
{
    constexpr std::uint64_t gangs = 3;
    advised_cell it{40};
    it.decisions.set_advice_machines(100);
    it.fill(40);
    for (std::uint64_t n = 1; n <= gangs; ++n)
    {
        it.decisions.submit(gang(n, 4), 0, it.now);
    }
    for (auto const& request : it.advice_requests())
    {
        it.answer(request, 20);
    }
    // More than three times their objectives.
    it.advance(std::chrono::minutes{3});
    it.end_all();
    std::set<workload::job_id> asked;
    for (int n = 0; n < 5; ++n)
    {
        it.advance(milliseconds{100});
        for (auto const& request : it.advice_requests())
        {
            asked.insert(request.step.job);
        }
    }
    BOOST_TEST(asked.size() == gangs);
}

/// Guards against a gang that never starts in an empty cell: the allowed
/// instances hold it exactly, and its plan required half as many slots again.
BOOST_AUTO_TEST_CASE(a_gang_that_just_fits_gets_its_tickets)
{
    advised_cell it{6};
    it.fill(6);
    it.decisions.submit(gang(1, 4), 0, it.now);
    auto const first = it.advice_requests();
    BOOST_REQUIRE(first.size() == 1U);
    it.answer(first[0], 2);
    it.advance(validity + milliseconds{500});
    it.end_all();
    it.advance(milliseconds{200});
    auto const second = it.advice_requests();
    BOOST_REQUIRE(second.size() == 1U);
    it.answer(second[0], 2);
    BOOST_TEST(it.starts().size() == 4U);
}

/// Guards against a gang that never starts: none of the instances it asked
/// about is allowed, and the only machine that can send requests has no spare
/// capacity.
BOOST_AUTO_TEST_CASE(a_gang_without_a_plan_sends_requests_whatever_the_load)
{
    advised_cell it{100};
    it.decisions.submit(gang(1, 2), 0, it.now);
    auto const first = it.advice_requests();
    BOOST_REQUIRE(first.size() == 1U);
    BOOST_REQUIRE(first[0].instances.size() < 100U);
    it.answer(first[0], 0);
    it.advance(milliseconds{200});
    auto const second = it.advice_requests();
    BOOST_REQUIRE(second.size() == 1U);
    it.answer(second[0], 2);
    BOOST_TEST(it.starts().size() == 2U);
}

/// Guards against requests for tickets with each change of a gang's plan: up to
/// 14 requests of one gang were queued at the advice service at once, and all
/// others waited behind them for seconds.
BOOST_AUTO_TEST_CASE(a_gang_has_one_open_request_for_tickets)
{
    tickets_asked_for it;
    auto const& known = it.known;
    auto const& tickets = it.tickets;
    // The plan changes: that room is used by others, and other room becomes
    // free.
    auto passing = scheduler_fixture::job(901, 4, 4'000);
    passing.queue = "free";
    passing.steps[0].estimate_ms = 900;
    it.decisions.submit(passing, 0, it.now);
    BOOST_REQUIRE(it.starts().size() == 4U);
    it.end_on({known.begin() + 4, known.begin() + 8});
    it.advance(milliseconds{200});
    BOOST_TEST(it.advice_requests().empty());
    it.answer(tickets[0], tickets[0].instances.size());
    it.advance(milliseconds{200});
    BOOST_TEST(it.advice_requests().size() == 1U);
}

/// Guards against a gang that never starts although it has room: an instance
/// was removed while an open request named it, and that request seemed to be
/// open forever.
BOOST_AUTO_TEST_CASE(a_removed_instance_does_not_keep_its_request_open)
{
    tickets_asked_for it;
    auto const& tickets = it.tickets;
    auto const gone = tickets[0].instances.front();
    std::ignore = it.store();
    it.decisions.instance_replaced(gone, it.now);
    it.decisions.tick(0, it.now);
    BOOST_REQUIRE(!it.decisions.instances().all().contains(gone));
    it.answer(tickets[0], 0);
    it.end_all();
    it.advance(milliseconds{200});
    BOOST_TEST(it.advice_requests().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
