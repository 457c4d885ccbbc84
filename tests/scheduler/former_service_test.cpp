#include "scheduler_fixture.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

using namespace berylhill;
using namespace berylhill::scheduler_test;
using scheduler::end_reason;
using scheduler::job_phase;
using std::chrono::milliseconds;

namespace
{

constexpr milliseconds moment{100};

/// Longer than any late order, and a lease after it.
constexpr std::chrono::seconds settling{25};

/// What the configuration in force says of the former service of the queue.
enum class former_service : std::uint8_t
{
    named,
    dropped,
};

/// When another owner takes over; it never knew the former configuration.
enum class takeover : std::uint8_t
{
    never,
    while_tasks_run,
    /// The ends are stored and not acknowledged.
    after_the_ends,
};

struct moved_case
{
    char const* story;
    former_service says;
    takeover when;
    milliseconds work;
    std::uint32_t tasks{3};
    bool gang{false};
    bool lasting{false};
};

std::ostream& operator<<(std::ostream& to, moved_case const& it)
{
    return to << it.story;
}

using enum former_service;
using enum takeover;

moved_case const moved_cases[] = {
    {"short tasks", named, never, milliseconds{5'000}},
    {"tasks that outlast a lease", named, never, milliseconds{20'000}},
    {"the service is dropped", dropped, never, milliseconds{20'000}},
    {"another owner", named, while_tasks_run, milliseconds{20'000}},
    {"another owner, the service is dropped", dropped, while_tasks_run,
     milliseconds{20'000}},
    {"another owner after the ends", named, after_the_ends,
     milliseconds{5'000}},
    {"a gang", named, never, milliseconds{20'000}, 3, true},
    {"a gang, another owner", dropped, while_tasks_run, milliseconds{20'000}, 3,
     true},
    {"tasks that last", named, never, milliseconds{0}, 3, false, true},
    {"tasks that last, another owner", dropped, while_tasks_run,
     milliseconds{0}, 3, false, true},
};

/// An instance that carries out orders at once.
struct working_instance
{
    std::map<scheduler::attempt_name, base::instant> running;
    std::vector<scheduler::ended_attempt_report> ended;
    std::uint64_t last_end{0};
    base::instant lease_end;
    /// How often it was called.
    std::size_t calls{0};
};

/// A cell whose queue moves from the instances of one service to those of
/// another one. Instances are called as the owner says.
class moving_cell
{
public:
    static constexpr char const* former = "former";
    static constexpr char const* present = "present";

    explicit moving_cell(moved_case const& it)
        : m_case{it}
    {
        list_all();
        run_for(moment);
        auto job = scheduler_fixture::job(1, it.tasks);
        job.steps[0].gang = it.gang;
        job.steps[0].long_running = it.lasting;
        job.steps[0].estimate_ms = 5'000;
        cell->decisions.submit(job, 0, cell->now);
        run_for(10 * moment);
    }

    void move_queue()
    {
        cell->decisions.set_configuration(moved());
    }

    void run_for(base::duration it)
    {
        auto const end = cell->now + it;
        while (cell->now < end)
        {
            cell->advance(moment);
            list_all();
            cell->decisions.tick(0, cell->now);
            work();
            carry_out(cell->decide());
            carry_out(cell->store());
            call_instances();
        }
    }

    /// The successor knows the records and the configuration in force.
    void change_owner()
    {
        auto const now = cell->now;
        auto const records = cell->records;
        cell = std::make_unique<scheduler_fixture>(
            records, scheduler_fixture::rules(), now, moved());
    }

    [[nodiscard]] bool may_call(std::string const& id) const
    {
        return cell->decisions.may_call(*cell->decisions.instances().share(id),
                                        cell->now);
    }

    /// How often tasks of the job have started.
    [[nodiscard]] std::size_t starts() const noexcept
    {
        return m_starts;
    }

    std::unique_ptr<scheduler_fixture> cell{std::make_unique<scheduler_fixture>(
        std::map<std::string, std::string>{},
        scheduler_fixture::rules(),
        base::instant{std::chrono::seconds{100}},
        scheduler_fixture::configuration("svc", {"svc", "other"}))};
    std::map<std::string, working_instance> instances{{former, {}},
                                                      {present, {}}};

private:
    [[nodiscard]] workload::cell_configuration moved() const
    {
        return m_case.says == named
                   ? scheduler_fixture::configuration("other", {"svc", "other"})
                   : scheduler_fixture::configuration("other", {"other"});
    }

    void list_all() const
    {
        cell->list_as(former, "svc", "kind");
        cell->list_as(present, "other", "kind");
    }

    void end(working_instance& at,
             scheduler::attempt_name const& name,
             end_reason how) const
    {
        at.ended.push_back({++at.last_end, name, how, {}});
        at.running.erase(name);
    }

    void work()
    {
        for (auto& [id, it] : instances)
        {
            auto const now = it.running;
            for (auto const& [name, began] : now)
            {
                if (cell->now > it.lease_end)
                {
                    end(it, name, end_reason::lease_lapsed);
                }
                else if (!m_case.lasting && cell->now - began >= m_case.work)
                {
                    end(it, name, end_reason::done);
                }
            }
        }
    }

    void carry_out(std::vector<scheduler::order> const& orders)
    {
        for (auto const& it : orders)
        {
            if (auto const* const start =
                    std::get_if<scheduler::start_order>(&it))
            {
                ++m_starts;
                auto& at = instances.at(start->instance);
                at.running[start->attempt] = cell->now;
                extend(at, start->until_ms);
                cell->confirm(*start);
            }
            if (auto const* const stop =
                    std::get_if<scheduler::stop_order>(&it))
            {
                auto& at = instances.at(stop->instance);
                if (at.running.contains(stop->attempt))
                {
                    end(at, stop->attempt, end_reason::stopped);
                }
            }
        }
    }

    void extend(working_instance& at, std::int64_t until_ms) const
    {
        at.lease_end =
            std::max(at.lease_end,
                     cell->now + milliseconds{until_ms - cell->clock_ms()});
    }

    void call_instances()
    {
        for (auto& [id, it] : instances)
        {
            if (!may_call(id))
            {
                continue;
            }
            ++it.calls;
            auto const order = cell->decisions.next_hold(id, cell->now);
            std::erase_if(it.ended, [&](auto const& each)
                          { return each.number <= order.seen_end; });
            extend(it, order.until_ms);
            std::vector<scheduler::running_attempt_report> running;
            running.reserve(it.running.size());
            for (auto const& [name, began] : it.running)
            {
                running.push_back({name, {}, 10});
            }
            cell->report(id, running, it.ended);
        }
    }

    moved_case const& m_case;
    std::size_t m_starts{0};
};

} // namespace

BOOST_AUTO_TEST_SUITE(former_services)

/// Guards against running tasks again that have ended `done` or still run: the
/// instances of a queue's former service were not called any more.
BOOST_DATA_TEST_CASE(work_ends_where_it_runs_when_its_queue_moves,
                     boost::unit_test::data::make(moved_cases))
{
    moving_cell it{sample};
    BOOST_TEST(it.instances.at(moving_cell::former).running.size() ==
               sample.tasks);
    it.move_queue();
    it.run_for(moment);
    if (sample.when == while_tasks_run)
    {
        it.change_owner();
    }
    if (sample.when == after_the_ends)
    {
        while (it.instances.at(moving_cell::former).ended.empty())
        {
            it.run_for(moment);
        }
        it.change_owner();
    }
    it.run_for(sample.work + settling);
    BOOST_TEST(it.starts() == sample.tasks);
    auto const& former = it.instances.at(moving_cell::former);
    BOOST_TEST(former.ended.empty());
    if (sample.lasting)
    {
        BOOST_TEST(former.running.size() == sample.tasks);
        BOOST_TEST(it.may_call(moving_cell::former));
        return;
    }
    BOOST_TEST((it.cell->decisions.phase_of({1}) == job_phase::completed));
    BOOST_TEST(!it.may_call(moving_cell::former));
}

/// Guards against more calls than a late order needs to be found: they are
/// paid for.
BOOST_AUTO_TEST_CASE(an_idle_instance_of_a_former_service_is_soon_left_alone)
{
    moving_cell it{moved_cases[0]};
    auto& former = it.instances.at(moving_cell::former);
    it.move_queue();
    it.run_for(scheduler::policy{}.max_request_delay + 10 * moment);
    BOOST_TEST(former.ended.empty());
    auto const calls = former.calls;
    it.run_for(settling);
    BOOST_TEST(former.calls == calls);
}

/// Guards against a successor that misses work on a former service, whichever
/// of the three it learns of first.
BOOST_DATA_TEST_CASE(a_successor_learns_of_a_moved_queue_in_any_order,
                     boost::unit_test::data::xrange(6),
                     number)
{
    moving_cell former{moved_cases[1]};
    trace_log log{[]
                  {
                      return 0.0;
                  }};
    auto const now = former.cell->now;
    scheduler::scheduler next{scheduler_fixture::rules(), log, now};
    std::array steps{0, 1, 2};
    for (int n = 0; n < number; ++n)
    {
        std::ranges::next_permutation(steps);
    }
    for (auto const step : steps)
    {
        switch (step)
        {
        case 0:
            next.set_configuration(scheduler_fixture::configuration("other"));
            break;
        case 1:
            next.restore(former.cell->records, 0, now);
            break;
        default:
            next.instance_listed(
                former.cell->decisions.instances().share("former")->info(), now,
                now);
        }
    }
    auto const at = next.instances().share("former");
    BOOST_TEST(next.may_call(*at, now));
    BOOST_TEST(at->attempts().size() == 3U);
    std::vector<scheduler::ended_attempt_report> ended;
    ended.reserve(at->attempts().size());
    for (auto const& [name, it] : at->attempts())
    {
        ended.push_back({ended.size() + 1, name, end_reason::done, {}});
    }
    next.hold_answered({"former", now, now, 1, {}, ended});
    BOOST_TEST(!next.take_batch(now).empty());
    next.batch_stored(now);
    BOOST_TEST((next.phase_of({1}) == job_phase::completed));
    BOOST_TEST(next.next_hold("former", now).seen_end == ended.size());
}

/// Guards against an order that is carried out late on an instance of a former
/// service: nobody would see what it started.
BOOST_AUTO_TEST_CASE(a_late_order_to_a_former_service_is_found)
{
    scheduler_fixture it;
    it.list("a");
    it.report("a");
    it.decisions.submit(scheduler_fixture::job(1, 1), 0, it.now);
    auto const start = it.starts().at(0);
    it.answer(start, scheduler::start_answer::unanswered);
    it.move_queue("other");
    it.advance(moment);
    it.report("a", {}, {{1, start.attempt, end_reason::stopped, {}}});
    (void)it.store();
    it.advance(std::chrono::seconds{11});
    it.report("a");
    BOOST_TEST(
        it.decisions.may_call(*it.decisions.instances().share("a"), it.now));
    it.report("a", {{start.attempt, {}, 10}});
    BOOST_TEST(count_of<scheduler::stop_order>(it.store()) == 1U);
}

/// Guards against calls to another system at an address that its entry names,
/// whether it is an entry of its own or stands in place of one of ours.
BOOST_AUTO_TEST_CASE(an_entry_of_another_system_is_not_called)
{
    scheduler_fixture it;
    it.list("ours");
    it.report("ours");
    it.decisions.submit(scheduler_fixture::job(1, 1), 0, it.now);
    it.confirm(it.starts().at(0));
    auto const at = [&](char const* id) -> scheduler::instance const&
    {
        return *it.decisions.instances().share(id);
    };
    it.list_as("theirs", "stranger", "kind");
    BOOST_TEST(!it.decisions.may_call(at("theirs"), it.now));
    it.list_at("ours", "stranger", "theirs");
    it.list_at("ours", "stranger", "theirs");
    BOOST_TEST(it.decisions.may_call(at("ours"), it.now));
    BOOST_TEST(at("ours").info().address == "ours");
    it.advance(settling);
    it.report("ours", {}, {{1, {{{{1}, 0, 0}, 0}, 1}, end_reason::done, {}}});
    it.list_at("ours", "stranger", "theirs");
    BOOST_TEST(it.decisions.may_call(at("ours"), it.now));
    BOOST_TEST(at("ours").info().address == "ours");
    it.report("ours");
    it.list_at("ours", "stranger", "theirs");
    BOOST_TEST(!it.decisions.may_call(at("ours"), it.now));
}

/// Guards against endless calls to instances that no queue uses, and against
/// none: a former owner may have left work there.
BOOST_AUTO_TEST_CASE(an_instance_that_no_queue_uses_is_called_until_it_is_idle)
{
    scheduler_fixture it{
        {},
        scheduler_fixture::rules(),
        base::instant{std::chrono::seconds{100}},
        scheduler_fixture::configuration("svc", {"svc", "other"})};
    it.list_as("a", "other", "kind");
    auto const called = [&]
    {
        return it.decisions.may_call(*it.decisions.instances().share("a"),
                                     it.now);
    };
    BOOST_TEST(called());
    it.report("a");
    BOOST_TEST(called());
    it.advance(settling);
    BOOST_TEST(called());
    it.report("a");
    BOOST_TEST(!called());
    it.move_queue("other");
    BOOST_TEST(called());
}

BOOST_AUTO_TEST_SUITE_END()
