#include "bench_owner.hpp"

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

constexpr std::chrono::seconds validity{2};

/// A cell of equal instances with four cores each, and a queue whose policy
/// has to be asked for.
struct advised_cell : bench_owner
{
    explicit advised_cell(std::size_t instances)
    {
        workload::cell_configuration configuration;
        workload::queue_spec queue;
        queue.name = "q";
        queue.service = "svc";
        queue.attempts = 2;
        queue.stretch = 2;
        queue.target_latency = std::chrono::seconds{20};
        queue.advice =
            workload::advice_spec{milliseconds{560}, milliseconds{8}, validity};
        configuration.queues = {queue};
        queue.name = "free";
        queue.advice.reset();
        configuration.queues.push_back(queue);
        decisions.set_configuration(configuration);
        for (std::size_t n = 0; n < instances; ++n)
        {
            list(name(n));
            report(name(n));
        }
    }

    static std::string name(std::size_t n)
    {
        return "i-" + std::to_string(n);
    }

    /// Takes all room of the instances in the range.
    void fill(std::size_t instances)
    {
        auto job =
            bench_owner::job(900, static_cast<std::uint32_t>(instances), 4'000);
        job.queue = "free";
        job.steps[0].estimate_ms = 5'000;
        decisions.submit(job, 0, now);
        for (auto const& it : starts())
        {
            confirm(it);
        }
    }

    /// What runs on the named instances ends.
    void end_on(std::set<std::string> const& ids)
    {
        for (auto const& id : ids)
        {
            auto const& at = decisions.instances().all().at(id);
            std::vector<scheduler::ended_row> ended;
            for (auto const& [name, attempt] : at->attempts())
            {
                auto const number = std::uint64_t{ended.size()} + 1;
                ended.push_back(
                    {number, name, scheduler::end_reason::done, {}});
            }
            report(id, {}, ended);
        }
    }

    /// What runs anywhere ends.
    void end_all()
    {
        std::set<std::string> all;
        for (auto const& [id, at] : decisions.instances().all())
        {
            all.insert(id);
        }
        end_on(all);
    }

    std::vector<scheduler::advice_order> questions()
    {
        std::vector<scheduler::advice_order> out;
        for (auto const& it : decide())
        {
            if (auto const* const question =
                    std::get_if<scheduler::advice_order>(&it);
                question != nullptr)
            {
                out.push_back(*question);
            }
        }
        return out;
    }

    /// Allows the first `n` of those named.
    void answer(scheduler::advice_order const& it, std::size_t n)
    {
        std::vector<scheduler::permission> allowed;
        for (std::size_t i = 0; i < std::min(n, it.instances.size()); ++i)
        {
            allowed.push_back({it.instances[i], "t"});
        }
        decisions.advised(it.step, it.instances, allowed, validity, now);
    }
};

workload::job_spec gang(std::uint64_t id, std::uint32_t tasks)
{
    auto out = bench_owner::job(id, tasks, 2'000);
    out.steps[0].gang = true;
    out.steps[0].estimate_ms = 5'000;
    return out;
}

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
    advised_cell it{40};
    it.decisions.set_advice_machines(100);
    it.fill(40);
    it.decisions.submit(gang(1, 4), 0, it.now);
    auto const first = it.questions();
    BOOST_REQUIRE(first.size() == 1U);
    it.answer(first[0], 20);
    it.advance(validity + milliseconds{500});
    auto const& known = first[0].instances;
    it.end_on({known.begin(), known.begin() + 4});
    it.advance(milliseconds{200});
    auto const tickets = it.questions();
    BOOST_REQUIRE(tickets.size() == 1U);
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
    advised_cell it{40};
    it.decisions.set_advice_machines(100);
    it.fill(40);
    it.decisions.submit(gang(1, 4), 0, it.now);
    auto const first = it.questions();
    BOOST_REQUIRE(first.size() == 1U);
    it.answer(first[0], 20);
    it.advance(validity + milliseconds{500});
    auto const& known = first[0].instances;
    it.end_on({known.begin(), known.begin() + 4});
    it.advance(milliseconds{200});
    auto const tickets = it.questions();
    BOOST_REQUIRE(tickets.size() == 1U);
    auto const gone = tickets[0].instances.front();
    std::ignore = it.store();
    it.decisions.gone(gone, it.now);
    it.decisions.tick(0, it.now);
    BOOST_REQUIRE(!it.decisions.instances().all().contains(gone));
    it.answer(tickets[0], 0);
    it.end_all();
    it.advance(milliseconds{200});
    BOOST_TEST(it.questions().size() == 1U);
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
    } while (!it.decisions.decided_all());
    BOOST_TEST(rounds > 2);
    BOOST_TEST(rounds < 10);
    BOOST_TEST(asked.size() == gangs);
}

BOOST_AUTO_TEST_SUITE_END()
