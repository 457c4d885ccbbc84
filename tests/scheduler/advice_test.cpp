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
    /// 0: nothing is asked.
    std::size_t named;
};

std::ostream& operator<<(std::ostream& to, size_case const& it)
{
    return to << it.story;
}

size_case const sizes[] = {
    {"one task names a few to choose from", 1, false, 0, 12},
    {"many tasks name what holds them three times", 40, false, 0, 60},
    {"never more than take as long as the decision", 50, false, 0, 70},
    {"a full cell is not asked about", 1, false, 80, 0},
    {"of a nearly full one those with room", 1, false, 77, 3},
    {"a small gang names what would hold it twelve times", 6, true, 0, 72},
    {"a tiny one names some to choose from", 1, true, 0, 24},
    {"a large gang names what it needs", 40, true, 0, 80},
};

} // namespace

BOOST_AUTO_TEST_SUITE(advice)

/// Urgent work waits for seconds though there is room for it. The steps for
/// which there is none ask the policy service again and again about the whole
/// cell, and it answers one question at a time.
BOOST_DATA_TEST_CASE(only_what_can_be_used_is_asked,
                     boost::unit_test::data::make(sizes))
{
    advised_cell it{80};
    if (sample.full > 0)
    {
        it.fill(sample.full);
    }
    auto const job = sample.is_gang ? gang(1, sample.tasks)
                                    : bench_owner::job(1, sample.tasks);
    it.decisions.submit(job, 0, it.now);
    auto const asked = it.questions();
    if (sample.named == 0)
    {
        BOOST_TEST(asked.empty());
        return;
    }
    BOOST_REQUIRE(asked.size() == 1U);
    BOOST_TEST(asked[0].instances.size() == sample.named);
    // While the answer is out nothing else is asked.
    it.advance(milliseconds{50});
    BOOST_TEST(it.questions().empty());
}

/// A gang waits for room. While it does, its tickets lapse; it asks for new
/// ones when its room is there, and only where it may go.
BOOST_AUTO_TEST_CASE(a_gang_asks_anew_when_its_room_is_there)
{
    advised_cell it{10};
    it.fill(10);
    it.decisions.submit(gang(1, 4), 0, it.now);
    auto const first = it.questions();
    BOOST_REQUIRE(first.size() == 1U);
    BOOST_TEST(first[0].instances.size() == 10U);
    it.answer(first[0], 6);
    it.advance(validity + milliseconds{500});
    BOOST_TEST(it.questions().empty());
    for (auto const& id : first[0].instances)
    {
        std::vector<scheduler::ended_row> ended;
        for (auto const& [name, attempt] :
             it.decisions.instances().all().at(id)->attempts())
        {
            ended.push_back({1, name, scheduler::end_reason::done, {}});
        }
        it.report(id, {}, ended);
    }
    it.advance(milliseconds{200});
    auto const second = it.questions();
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

/// A gang comes late in a cell that is never quite empty: each slot that came
/// free went to longer work before the others did.
BOOST_AUTO_TEST_CASE(what_is_kept_free_for_a_gang_stays_so)
{
    advised_cell it{8};
    it.fill(7);
    it.decisions.submit(gang(1, 4), 0, it.now);
    auto const asked = it.questions();
    BOOST_REQUIRE(asked.size() == 1U);
    it.answer(asked[0], 8);
    BOOST_TEST(it.starts().empty());
    // The gang's room is there when the others end, in 5 s.
    auto later = bench_owner::job(2, 1);
    later.queue = "free";
    later.steps[0].estimate_ms = 6'000;
    it.decisions.submit(later, 0, it.now);
    BOOST_TEST(it.starts().empty());
    auto passing = bench_owner::job(3, 1);
    passing.queue = "free";
    passing.steps[0].estimate_ms = 500;
    it.decisions.submit(passing, 0, it.now);
    BOOST_TEST(it.starts().size() == 1U);
    auto done_before = bench_owner::job(4, 1);
    done_before.queue = "free";
    done_before.steps[0].estimate_ms = 4'000;
    it.decisions.submit(done_before, 0, it.now);
    BOOST_TEST(it.starts().size() == 1U);
}

/// Batch work waits for its tickets until it is late too: its questions have
/// time, and so those of gangs always went before.
BOOST_AUTO_TEST_CASE(a_question_with_time_to_spare_is_not_put_off_for_good)
{
    advised_cell it{20};
    it.decisions.submit(bench_owner::job(1, 4), 0, it.now);
    auto const asked = it.questions();
    BOOST_REQUIRE(asked.size() == 1U);
    BOOST_TEST((asked[0].needed_by - it.now <= 16 * asked[0].expected));
}

/// The owner gives no answer while it places a burst of gangs: one round of
/// decisions looks at all instances for each of them.
BOOST_AUTO_TEST_CASE(a_round_is_bounded_and_goes_on_where_it_left_off)
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
        for (auto const& question : it.questions())
        {
            asked.insert(question.step.job);
        }
    } while (!it.decisions.round_complete());
    BOOST_TEST(rounds > 2);
    BOOST_TEST(rounds < 10);
    BOOST_TEST(asked.size() == gangs);
}

/// A user's job never goes on though there is room. The store was away when it
/// came, so it was refused, and it came again; the question of its first time
/// is answered now. Counted with those of its second time, a question seemed
/// to be open for good, and nothing was asked any more.
BOOST_AUTO_TEST_CASE(an_answer_of_a_refused_time_does_not_stop_the_questions)
{
    advised_cell it{80};
    it.decisions.submit(bench_owner::job(1, 4), 0, it.now);
    auto const first = it.questions();
    BOOST_REQUIRE(first.size() == 1U);
    BOOST_REQUIRE(it.decisions.withdraw({1}));
    it.decisions.submit(bench_owner::job(1, 4), 0, it.now);
    auto const second = it.questions();
    BOOST_REQUIRE(second.size() == 1U);
    it.answer(first[0], 0);
    it.answer(second[0], 0);
    it.advance(milliseconds{200});
    BOOST_TEST(it.questions().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
