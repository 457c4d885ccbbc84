#include "scheduler_fixture.hpp"

#include <scheduler/instance_life.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace berylhill;
using namespace berylhill::scheduler_test;
using scheduler::end_reason;
using scheduler::job_phase;
using scheduler::start_answer;

namespace
{

constexpr std::int64_t first_birth = 1'000;
constexpr std::int64_t second_birth = 9'000;

constexpr base::duration max_request_delay = std::chrono::seconds{12};

std::string const former{"a@1000"};
std::string const later{"a@9000"};

struct life_case
{
    char const* text;
    scheduler::instance_life life;
};

std::ostream& operator<<(std::ostream& to, life_case const& it)
{
    return to << it.text;
}

life_case const lives[] = {
    {"a", {"a", 0}},
    {"a@1000", {"a", 1'000}},
    {"a@b@0", {"a@b", 0}},
    {"a@7@1000", {"a@7", 1'000}},
};

/// How the owner learns of the later life.
enum class told_by : std::uint8_t
{
    report,
    entry_then_report,
    report_of_the_later_life,
};

/// What the owner knows of the attempt when the instance starts again.
enum class order_state : std::uint8_t
{
    answered,
    reported,
    unanswered,
};

struct reborn_case
{
    char const* story;
    order_state order;
    told_by source;
};

std::ostream& operator<<(std::ostream& to, reborn_case const& it)
{
    return to << it.story;
}

reborn_case const reborn[] = {
    {"a task that was reported, told by a report", order_state::reported,
     told_by::report},
    {"a task that was reported, told by the entry", order_state::reported,
     told_by::entry_then_report},
    {"a task that was reported, told by the later life's own report",
     order_state::reported, told_by::report_of_the_later_life},
    {"an order that was answered, told by a report", order_state::answered,
     told_by::report},
    {"an order that was answered, told by the entry", order_state::answered,
     told_by::entry_then_report},
    {"an order without an answer, told by a report", order_state::unanswered,
     told_by::report},
    {"an order without an answer, told by the entry", order_state::unanswered,
     told_by::entry_then_report},
};

/// Where a former owner's task may run by an order of its last moment.
struct former_order_case
{
    char const* story;
    std::string instance;
    bool later_life_listed;
    /// From the takeover until it has surely ended, but for the margin.
    base::duration runs;
};

std::ostream& operator<<(std::ostream& to, former_order_case const& it)
{
    return to << it.story;
}

base::duration after_the_takeover(base::duration lease)
{
    scheduler::policy const rules;
    return rules.ownership_lease + longest_locally(lease, rules);
}

former_order_case const former_orders[] = {
    {"no birth is told, so no later life takes it", "a", false,
     after_the_takeover(scheduler::policy{}.lease)},
    {"a later life takes it", former, false,
     after_the_takeover(scheduler::policy{}.longest_lease)},
    {"a later life that is listed takes it late", former, true,
     max_request_delay + after_the_takeover(scheduler::policy{}.longest_lease)},
};

/// When an entry of a service that no configuration names is read, which
/// another writer has put under the key of instance `a`.
enum class odd_entry : std::uint8_t
{
    before_the_first_own,
    after_the_first_own,
    between_two_own,
};

struct odd_entry_case
{
    char const* story;
    odd_entry at;
    /// The life that it names.
    std::string names;
};

std::ostream& operator<<(std::ostream& to, odd_entry_case const& it)
{
    return to << it.story;
}

odd_entry_case const odd_entries[] = {
    {"a later birth, read first", odd_entry::before_the_first_own, later},
    {"a later birth, read last", odd_entry::after_the_first_own, later},
    {"a later birth, then an own entry again", odd_entry::between_two_own,
     later},
    {"an earlier birth, read first", odd_entry::before_the_first_own, "a@7"},
    {"an earlier birth, read last", odd_entry::after_the_first_own, "a@7"},
    {"no birth, read last", odd_entry::after_the_first_own, "a"},
};

/// A cell with one task on the former life of `a`.
class reborn_fixture : public scheduler_fixture
{
public:
    using scheduler_fixture::scheduler_fixture;

    scheduler::start_order begin(order_state state)
    {
        list(former);
        report(former);
        decisions.submit(job(1, 1), 0, now);
        auto start = starts().at(0);
        if (state == order_state::unanswered)
        {
            answer(start, start_answer::unanswered);
        }
        else
        {
            confirm(start);
        }
        if (state == order_state::reported)
        {
            report(former, {{start.attempt, {}, 10}});
        }
        advance(std::chrono::milliseconds{100});
        return start;
    }

    /// The answer to a request that named `asked`, given by the later life.
    std::optional<std::string>
    report_later(std::string const& asked,
                 std::vector<scheduler::running_attempt_report> running = {},
                 std::vector<scheduler::ended_attempt_report> ended = {})
    {
        constexpr std::int64_t young = 5;
        return decisions.hold_answered({asked, now, now, young,
                                        std::move(running), std::move(ended),
                                        second_birth});
    }

    void tell(told_by source,
              std::vector<scheduler::running_attempt_report> const& running)
    {
        if (source != told_by::report)
        {
            list(later);
        }
        auto const asked =
            source == told_by::report_of_the_later_life ? later : former;
        BOOST_TEST((report_later(asked, running) == later));
    }

    [[nodiscard]] std::size_t stops(std::vector<scheduler::order> const& it)
    {
        return count_of<scheduler::stop_order>(it);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(instance_lives)

BOOST_DATA_TEST_CASE(text_of_a_life_is_read_back,
                     boost::unit_test::data::make(lives))
{
    BOOST_TEST(text_of(sample.life) == sample.text);
    BOOST_TEST((scheduler::parse_life(sample.text) == sample.life));
}

/// Guards against a task that waits for ever, or runs twice, after its instance
/// has started again under its id.
BOOST_DATA_TEST_CASE(task_of_a_former_life_starts_again_elsewhere,
                     boost::unit_test::data::make(reborn))
{
    reborn_fixture it;
    auto const start = it.begin(sample.order);
    it.list("b");
    it.report("b");
    it.tell(sample.source, {});
    if (sample.order == order_state::unanswered)
    {
        // The later life may still carry out the order.
        auto orders = it.decide();
        auto const stored = it.store();
        orders.insert(orders.end(), stored.begin(), stored.end());
        BOOST_TEST(count_of<scheduler::start_order>(orders) == 0U);
        BOOST_TEST_REQUIRE(it.stops(orders) == 1U);
        it.decisions.stop_answered(later, start.attempt,
                                   scheduler::stop_answer::accepted, it.now);
        it.advance(std::chrono::milliseconds{10});
        it.report_later(later);
    }
    auto const again = it.starts();
    BOOST_TEST_REQUIRE(again.size() == 1U);
    BOOST_TEST(again[0].instance == "b");
    BOOST_TEST(again[0].attempt.run > start.attempt.run);
}

/// Guards against two runs of a task: the later life answered or carried out
/// the order before its birth was known.
BOOST_DATA_TEST_CASE(task_that_a_later_life_runs_is_stopped_first,
                     boost::unit_test::data::make(reborn))
{
    reborn_fixture it;
    auto const start = it.begin(sample.order);
    it.list("b");
    it.report("b");
    it.tell(sample.source, {{start.attempt, {}, 5}});
    auto orders = it.decide();
    auto const stored = it.store();
    orders.insert(orders.end(), stored.begin(), stored.end());
    BOOST_TEST(count_of<scheduler::start_order>(orders) == 0U);
    BOOST_TEST(it.stops(orders) >= 1U);
    it.decisions.stop_answered(later, start.attempt,
                               scheduler::stop_answer::accepted, it.now);
    it.advance(std::chrono::milliseconds{10});
    it.report_later(later, {}, {{1, start.attempt, end_reason::stopped, {}}});
    auto const again = it.starts();
    BOOST_TEST_REQUIRE(again.size() == 1U);
    BOOST_TEST(again[0].instance == "b");
}

/// Guards against lost ends: the later life counts its ends from 1 again, and
/// an acknowledgement by the former life's numbers makes it forget them.
BOOST_AUTO_TEST_CASE(ends_of_a_later_life_are_counted_anew)
{
    reborn_fixture it;
    auto const start = it.begin(order_state::reported);
    it.report(former, {}, {{57, start.attempt, end_reason::failed, {}}});
    it.list(later);
    it.report_later(later);
    BOOST_TEST(it.store().empty());
    BOOST_TEST(it.decisions.next_hold(later, it.now).seen_end == 0U);
    it.advance(max_request_delay);
    it.report_later(later);
    auto const again = it.starts();
    BOOST_TEST_REQUIRE(again.size() == 1U);
    BOOST_TEST(again[0].instance == later);
    it.confirm(again[0]);
    it.advance(std::chrono::seconds{1});
    it.report_later(later, {}, {{1, again[0].attempt, end_reason::done, {}}});
    BOOST_TEST(it.store().empty());
    BOOST_TEST((it.decisions.phase_of({1}) == job_phase::completed));
    BOOST_TEST(it.decisions.next_hold(later, it.now).seen_end == 1U);
}

/// Guards against starts that a late request to the former life makes the
/// later one forget.
BOOST_AUTO_TEST_CASE(later_life_rests_before_its_first_start)
{
    reborn_fixture it;
    it.begin(order_state::reported);
    it.list(later);
    it.report_later(later);
    BOOST_TEST(it.starts().empty());
    it.advance(max_request_delay);
    it.report_later(later);
    BOOST_TEST(it.starts().size() == 1U);
}

/// Guards against a life that is over and gets work because the store is slow,
/// or an answer was held up.
BOOST_AUTO_TEST_CASE(what_tells_of_an_earlier_life_is_ignored)
{
    reborn_fixture it;
    auto const start = it.begin(order_state::reported);
    it.list(later);
    it.report_later(later);
    it.list(former);
    it.report(former, {{start.attempt, {}, 20}});
    auto const& all = it.decisions.instances().all();
    BOOST_TEST((!all.contains(former) || !all.at(former)->listed()));
    BOOST_TEST(all.at(later)->listed());
    BOOST_TEST(
        (it.decisions.hold_answered(
             {later, it.now, it.now, 7, {}, {}, first_birth}) == std::nullopt));
}

/// Guards against leases by the former life's clock, and starts by its room.
BOOST_AUTO_TEST_CASE(life_without_an_entry_gets_no_start)
{
    reborn_fixture it;
    it.begin(order_state::reported);
    it.report_later(former);
    it.advance(max_request_delay);
    it.report_later(later);
    BOOST_TEST(it.starts().empty());
    BOOST_TEST(it.decisions.next_hold(later, it.now).until_ms == 0);
    it.list(later);
    BOOST_TEST(it.starts().size() == 1U);
}

/// Guards against a task that crashes each instance that starts it and is not
/// given up, since a later life answers in place of the crashed one.
BOOST_AUTO_TEST_CASE(crash_with_an_open_order_counts_as_one)
{
    reborn_fixture it;
    auto const start = it.begin(order_state::unanswered);
    it.report(former, {{start.attempt, {}, 1}});
    it.report_later(former);
    BOOST_TEST(it.stops(it.store()) == 1U);
    it.decisions.stop_answered(later, start.attempt,
                               scheduler::stop_answer::accepted, it.now);
    it.advance(std::chrono::milliseconds{10});
    it.report_later(later);
    it.list("b");
    it.report("b");
    BOOST_TEST_REQUIRE(it.starts().size() == 1U);
    auto const at = it.decisions.instances().all().at("b");
    BOOST_TEST(at->attempts().begin()->second.suspect);
}

/// Guards against a former owner's attempts that the next owner takes for
/// running, or for never begun, on a later life.
BOOST_AUTO_TEST_CASE(next_owner_ends_the_attempts_of_a_former_life)
{
    reborn_fixture before;
    auto const start = before.begin(order_state::reported);
    reborn_fixture it{before.records};
    it.list(later);
    it.report_later(later);
    it.list("b");
    it.report("b");
    auto const again = it.starts();
    BOOST_TEST_REQUIRE(again.size() == 1U);
    BOOST_TEST(again[0].instance == "b");
    BOOST_TEST(again[0].attempt.run > start.attempt.run);
}

/// Guards against two runs of a task: a later life that the next owner does not
/// reach shortens the lease of a former owner's order by its own clock.
BOOST_DATA_TEST_CASE(next_owner_waits_for_the_lease_of_a_former_owners_order,
                     boost::unit_test::data::make(former_orders))
{
    scheduler_fixture before;
    before.list(sample.instance);
    before.report(sample.instance);
    before.decisions.submit(before.job(1, 1), 0, before.now);
    BOOST_TEST_REQUIRE(before.starts().size() == 1U);

    scheduler_fixture it{before.records};
    it.list("b");
    it.report("b");
    for (int n = 0; sample.later_life_listed && n < 2; ++n)
    {
        it.list(later);
    }
    it.advance(sample.runs);
    it.decisions.tick(0, it.now);
    BOOST_TEST(it.starts().empty());
    it.advance(std::chrono::seconds{1});
    it.decisions.tick(0, it.now);
    BOOST_TEST(it.starts().size() == 1U);
}

/// Guards against an instance that stays on the list: its entry is removed by
/// the id, whichever life wrote it.
BOOST_AUTO_TEST_CASE(removed_entry_takes_the_listed_life_off)
{
    reborn_fixture it;
    it.list(former);
    it.report(former);
    it.decisions.instance_unlisted("a", it.now);
    BOOST_TEST(!it.decisions.instances().all().at(former)->listed());
}

/// Guards against accepted work that never starts: an entry of another writer,
/// with a service that no configuration names, hid the instance.
BOOST_DATA_TEST_CASE(entry_of_an_unknown_service_hides_no_instance,
                     boost::unit_test::data::make(odd_entries))
{
    reborn_fixture it;
    if (sample.at != odd_entry::before_the_first_own)
    {
        it.list(former);
        it.report(former);
    }
    it.list_as(sample.names, "another", "kind");
    if (sample.at != odd_entry::after_the_first_own)
    {
        it.list(former);
        it.report(former);
    }
    it.decisions.submit(it.job(1, 1), 0, it.now);
    auto const started = it.starts();
    BOOST_TEST_REQUIRE(started.size() == 1U);
    BOOST_TEST(started[0].instance == former);
}

/// Guards against an instance that is taken for a life of another one.
BOOST_AUTO_TEST_CASE(life_is_not_mistaken_for_an_id_that_reads_alike)
{
    reborn_fixture it;
    it.list("a@7");
    it.list("a@7@1000");
    BOOST_TEST(it.decisions.instances().all().at("a@7")->listed());
    it.decisions.instance_unlisted("a@7", it.now);
    BOOST_TEST(it.decisions.instances().all().at("a@7")->listed());
    BOOST_TEST(!it.decisions.instances().all().at("a@7@1000")->listed());
}

/// Guards against ends of a later life that are acknowledged before its birth
/// is known.
BOOST_AUTO_TEST_CASE(nothing_is_acknowledged_to_an_unresponsive_instance)
{
    reborn_fixture it;
    auto const start = it.begin(order_state::reported);
    it.report(former, {}, {{57, start.attempt, end_reason::failed, {}}});
    BOOST_TEST(it.store().empty());
    BOOST_TEST(it.decisions.next_hold(former, it.now).seen_end == 57U);
    it.decisions.hold_unanswered(former, it.now);
    BOOST_TEST(it.decisions.next_hold(former, it.now).seen_end == 0U);
    it.report(former);
    BOOST_TEST(it.decisions.next_hold(former, it.now).seen_end == 57U);
}

/// Guards against a task that crashes each instance before it answers, and
/// starts for ever.
BOOST_AUTO_TEST_CASE(lives_that_crash_before_they_answer_count_as_lost)
{
    constexpr int most_lives = 8;
    reborn_fixture it;
    it.decisions.submit(it.job(1, 1), 0, it.now);
    auto const name_of_life = [](int n)
    {
        return text_of(scheduler::instance_life{"a", first_birth + n});
    };
    auto const hear = [&](int asked, int answers)
    {
        it.decisions.hold_answered({name_of_life(asked),
                                    it.now,
                                    it.now,
                                    5,
                                    {},
                                    {},
                                    first_birth + answers});
    };
    it.list(name_of_life(0));
    hear(0, 0);
    for (int n = 0; n < most_lives; ++n)
    {
        it.advance(max_request_delay);
        hear(n, n);
        for (auto const& start : it.starts())
        {
            it.answer(start, start_answer::unanswered);
            it.list(name_of_life(n + 1));
            hear(n, n + 1);
            for (auto const& order : it.store())
            {
                auto const& stop = std::get<scheduler::stop_order>(order);
                it.decisions.stop_answered(stop.instance, stop.attempt,
                                           scheduler::stop_answer::accepted,
                                           it.now);
            }
            it.advance(std::chrono::milliseconds{10});
            hear(n + 1, n + 1);
        }
    }
    static_cast<void>(it.store());
    BOOST_TEST((it.decisions.phase_of({1}) == job_phase::failed));
}

/// Guards against two runs of a task: the later life answered the order after
/// it had made the report, and the report arrives last.
BOOST_AUTO_TEST_CASE(order_answered_after_the_report_was_requested_is_open)
{
    reborn_fixture it;
    it.list(former);
    it.report(former);
    it.decisions.submit(it.job(1, 1), 0, it.now);
    auto const start = it.starts().at(0);
    auto const sent_at = it.now;
    it.advance(std::chrono::milliseconds{10});
    it.confirm(start);
    it.advance(std::chrono::milliseconds{10});
    it.decisions.hold_answered(
        {former, sent_at, it.now, 5, {}, {}, second_birth});
    it.list("b");
    it.report("b");
    auto orders = it.decide();
    auto const stored = it.store();
    orders.insert(orders.end(), stored.begin(), stored.end());
    BOOST_TEST(count_of<scheduler::start_order>(orders) == 0U);
    BOOST_TEST(it.stops(orders) == 1U);
}

/// Guards against ends that nobody has read and that a late request to the
/// former life makes the later one forget: the former one was idle, so nothing
/// of it was known any more.
BOOST_AUTO_TEST_CASE(later_life_rests_also_if_the_former_one_was_idle)
{
    reborn_fixture it;
    it.list(former);
    it.report(former);
    static_cast<void>(it.decisions.next_hold(former, it.now));
    it.list(later);
    it.decisions.tick(0, it.now);
    it.report_later(later);
    it.decisions.submit(it.job(1, 1), 0, it.now);
    BOOST_TEST(it.starts().empty());
    it.advance(max_request_delay);
    it.report_later(later);
    BOOST_TEST(it.starts().size() == 1U);
}

/// Guards against a task that starts elsewhere while the later life may still
/// carry out its order: the former life's lease says nothing of that.
BOOST_AUTO_TEST_CASE(silent_later_life_keeps_an_open_order)
{
    reborn_fixture it;
    it.begin(order_state::unanswered);
    it.advance(std::chrono::seconds{20});
    it.report_later(former);
    static_cast<void>(it.store());
    it.decisions.tick(0, it.now);
    it.list("b");
    it.report("b");
    BOOST_TEST(it.starts().empty());
    it.advance(max_request_delay);
    it.decisions.tick(0, it.now);
    BOOST_TEST(it.starts().empty());
    it.advance(std::chrono::seconds{12});
    it.decisions.tick(0, it.now);
    BOOST_TEST(it.starts().size() == 1U);
}

/// Guards against two runs of a task: a late request to the former life gives
/// the later one, by the former's clock, the longest lease that it accepts.
BOOST_AUTO_TEST_CASE(lease_of_a_later_life_may_come_from_a_late_request)
{
    reborn_fixture it;
    it.begin(order_state::reported);
    it.advance(std::chrono::seconds{20});
    it.list(later);
    it.report_later(former);
    auto const reborn_at = it.now;
    it.advance(max_request_delay);
    it.report_later(later);
    BOOST_TEST_REQUIRE(it.starts().size() == 1U);
    it.decisions.hold_unanswered(later, it.now);
    it.list("b");
    it.report("b");
    it.advance(reborn_at + max_request_delay +
               std::chrono::milliseconds{10'100} - it.now);
    it.decisions.tick(0, it.now);
    BOOST_TEST(it.starts().empty());
}

/// Guards against a second run of a task that is done: its order was sent
/// twice, and the later life carries out the other one.
BOOST_AUTO_TEST_CASE(repeated_order_of_an_ended_attempt_is_stopped)
{
    reborn_fixture it;
    it.list(former);
    it.report(former);
    it.decisions.submit(it.job(1, 1), 0, it.now);
    auto const start = it.starts().at(0);
    it.advance(std::chrono::milliseconds{300});
    it.decisions.tick(0, it.now);
    BOOST_TEST(count_of<scheduler::start_order>(it.decide()) == 1U);
    it.answer(start, start_answer::unanswered);
    it.report(former, {}, {{1, start.attempt, end_reason::done, {}}});
    static_cast<void>(it.store());
    BOOST_TEST((it.decisions.phase_of({1}) == job_phase::completed));
    it.advance(std::chrono::seconds{2});
    it.list(later);
    it.decisions.tick(0, it.now);
    it.report_later(later);
    auto const orders = it.store();
    BOOST_TEST_REQUIRE(it.stops(orders) == 1U);
    BOOST_TEST(std::get<scheduler::stop_order>(orders[0]).instance == later);
    it.decisions.stop_answered(later, start.attempt,
                               scheduler::stop_answer::accepted, it.now);
    it.advance(std::chrono::milliseconds{10});
    it.report_later(later);
    BOOST_TEST(it.decisions.instances().all().at(later)->attempts().empty());
}

/// Guards against a task that a life without an entry starts late and that
/// nobody stops, since the life was forgotten when one request failed.
BOOST_AUTO_TEST_CASE(silent_life_without_an_entry_is_asked_again)
{
    reborn_fixture it;
    it.begin(order_state::reported);
    it.report_later(former);
    it.decisions.hold_unanswered(later, it.now);
    it.decisions.tick(0, it.now);
    BOOST_TEST(it.decisions.instances().all().contains(later));
    it.advance(std::chrono::seconds{30});
    it.decisions.tick(0, it.now);
    BOOST_TEST(!it.decisions.instances().all().contains(later));
}

/// Guards against two runs of a task: a later life is known from its entry, but
/// doesn't answer, and may carry out the order after the former one's lease.
BOOST_AUTO_TEST_CASE(entry_of_a_later_life_keeps_an_open_order)
{
    reborn_fixture it;
    it.begin(order_state::unanswered);
    it.list(later);
    it.list("b");
    it.report("b");
    it.advance(std::chrono::seconds{11});
    it.decisions.tick(0, it.now);
    BOOST_TEST(it.starts().empty());
    it.advance(std::chrono::seconds{13});
    it.decisions.tick(0, it.now);
    BOOST_TEST(it.starts().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
