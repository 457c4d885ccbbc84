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
    /// Until then what runs there does not end.
    milliseconds full_for;
    bool asks_more;
};

std::ostream& operator<<(std::ostream& to, widening_case const& it)
{
    return to << it.story;
}

widening_case const widenings[] = {
    {"a gang that would be late asks about more", 100, milliseconds{60'000},
     true},
    {"not where the machines that ask are busy", 1, milliseconds{60'000},
     false},
    {"not one that its plan has start in time", 100, milliseconds{4'000},
     false},
};

/// A full cell in which a gang knows 20 instances; four of them have come
/// free, and its question for their tickets is under way.
struct tickets_asked_for : advised_cell
{
    tickets_asked_for()
        : advised_cell{40}
    {
        decisions.set_advice_machines(100);
        fill(40);
        decisions.submit(gang(1, 4), 0, now);
        auto const first = questions();
        BOOST_REQUIRE(first.size() == 1U);
        answer(first[0], 20);
        advance(validity + milliseconds{500});
        known = first[0].instances;
        end_on({known.begin(), known.begin() + 4});
        advance(milliseconds{200});
        tickets = questions();
        BOOST_REQUIRE(tickets.size() == 1U);
    }

    std::vector<std::string> known;
    std::vector<scheduler::advice_order> tickets;
};

} // namespace

BOOST_AUTO_TEST_SUITE(gang_advice)

/// A wide gang learns of the instances one question after the other, each of
/// which takes a second; by the last answer the tickets of the first have
/// lapsed.
BOOST_AUTO_TEST_CASE(a_wide_gang_asks_all_its_questions_at_once)
{
    advised_cell it{250};
    it.decisions.set_advice_machines(100);
    it.decisions.submit(gang(1, 40), 0, it.now);
    auto const asked = it.questions();
    BOOST_REQUIRE(asked.size() == 3U);
    std::set<std::string> named;
    for (auto const& question : asked)
    {
        BOOST_TEST(question.instances.size() <= 84U);
        named.insert(question.instances.begin(), question.instances.end());
    }
    BOOST_TEST(named.size() == 250U);
    // What came back is used before the rest is there.
    it.answer(asked[0], 40);
    BOOST_TEST(it.starts().size() == 40U);
}

/// A gang comes late though others have room: it knows too few instances. But
/// where few machines can ask, the questions of gangs that ask on hold up all
/// other work.
BOOST_DATA_TEST_CASE(a_late_plan_asks_on_with_what_time_is_to_spare,
                     boost::unit_test::data::make(widenings))
{
    advised_cell it{200};
    it.decisions.set_advice_machines(sample.machines);
    auto filler = bench_owner::job(900, 200, 4'000);
    filler.queue = "free";
    filler.steps[0].estimate_ms = sample.full_for.count();
    it.decisions.submit(filler, 0, it.now);
    for (auto const& each : it.starts())
    {
        it.confirm(each);
    }
    it.decisions.submit(gang(1, 4), 0, it.now);
    auto const first = it.questions();
    BOOST_REQUIRE(first.size() == 1U);
    BOOST_REQUIRE(first[0].instances.size() < 100U);
    it.answer(first[0], 4);
    auto more = it.questions();
    it.advance(milliseconds{200});
    auto const later = it.questions();
    more.insert(more.end(), later.begin(), later.end());
    BOOST_TEST(!more.empty() == sample.asks_more);
}

/// Users' reports are not begun though the cell is empty, long after a burst:
/// of the gangs that are late by then only one has room kept for it, and the
/// others, whose tickets had lapsed while the cell was full, asked no more.
BOOST_AUTO_TEST_CASE(late_gangs_ask_for_their_tickets_beside_each_other)
{
    constexpr std::uint64_t gangs = 3;
    advised_cell it{40};
    it.decisions.set_advice_machines(100);
    it.fill(40);
    for (std::uint64_t n = 1; n <= gangs; ++n)
    {
        it.decisions.submit(gang(n, 4), 0, it.now);
    }
    for (auto const& question : it.questions())
    {
        it.answer(question, 20);
    }
    // Far beyond their objectives, three times over.
    it.advance(std::chrono::minutes{3});
    it.end_all();
    std::set<workload::job_id> asked;
    for (int n = 0; n < 5; ++n)
    {
        it.advance(milliseconds{100});
        for (auto const& question : it.questions())
        {
            asked.insert(question.step.job);
        }
    }
    BOOST_TEST(asked.size() == gangs);
}

/// A user's report never starts in an empty cell: the instances that it may use
/// hold it just so, and its plan asked for half as many slots again.
BOOST_AUTO_TEST_CASE(a_gang_that_just_fits_gets_its_tickets)
{
    advised_cell it{6};
    it.fill(6);
    it.decisions.submit(gang(1, 4), 0, it.now);
    auto const first = it.questions();
    BOOST_REQUIRE(first.size() == 1U);
    it.answer(first[0], 2);
    it.advance(validity + milliseconds{500});
    it.end_all();
    it.advance(milliseconds{200});
    auto const second = it.questions();
    BOOST_REQUIRE(second.size() == 1U);
    it.answer(second[0], 2);
    BOOST_TEST(it.starts().size() == 4U);
}

/// A user's report never starts: the service allows none of the instances that
/// its gang asked about, and the only machine that can ask has no time to spare
/// for more.
BOOST_AUTO_TEST_CASE(a_gang_without_any_plan_asks_whatever_the_load)
{
    advised_cell it{100};
    it.decisions.submit(gang(1, 2), 0, it.now);
    auto const first = it.questions();
    BOOST_REQUIRE(first.size() == 1U);
    BOOST_REQUIRE(first[0].instances.size() < 100U);
    it.answer(first[0], 0);
    it.advance(milliseconds{200});
    auto const second = it.questions();
    BOOST_REQUIRE(second.size() == 1U);
    it.answer(second[0], 2);
    BOOST_TEST(it.starts().size() == 2U);
}

/// Users' jobs are not begun for seconds in a cell with room: its gangs ask for
/// tickets anew with each change of their plans, up to 14 questions of a gang
/// lie at the service of advice at once, and all others wait behind them.
BOOST_AUTO_TEST_CASE(a_gang_asks_for_tickets_once_at_a_time)
{
    tickets_asked_for it;
    auto const& known = it.known;
    auto const& tickets = it.tickets;
    // Its plan changes: that room is taken, and other room is there.
    auto passing = bench_owner::job(901, 4, 4'000);
    passing.queue = "free";
    passing.steps[0].estimate_ms = 900;
    it.decisions.submit(passing, 0, it.now);
    BOOST_REQUIRE(it.starts().size() == 4U);
    it.end_on({known.begin() + 4, known.begin() + 8});
    it.advance(milliseconds{200});
    BOOST_TEST(it.questions().empty());
    it.answer(tickets[0], tickets[0].instances.size());
    it.advance(milliseconds{200});
    BOOST_TEST(it.questions().size() == 1U);
}

/// A user's report never starts though its gang has room: an instance went
/// while a question for tickets named it, and that question seemed to be under
/// way for good.
BOOST_AUTO_TEST_CASE(an_instance_that_goes_does_not_keep_its_question_open)
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
    BOOST_TEST(it.questions().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
