#include "scheduler_fixture.hpp"

#include <scheduler/part_record.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <limits>
#include <map>
#include <ostream>
#include <string>
#include <tuple>
#include <vector>

using namespace berylhill;
using scheduler::state_part;
using scheduler::task_phase;

namespace
{

/// Two tasks in a part, so that a step of five has three.
constexpr scheduler::record_layout small_parts{1, 2};

constexpr workload::job_id id{0x00ab};

workload::job_spec spec()
{
    workload::job_spec out;
    out.id = id;
    out.queue = "q";
    workload::step_spec step;
    step.tasks = 5;
    step.need = {1'000, 10, 0};
    out.steps = {step, step};
    out.steps[1].depends_on = {0};
    out.repeats = {4, 0, 100};
    return out;
}

scheduler::job made()
{
    return scheduler::job{spec(), 0, base::instant{}, small_parts};
}

constexpr workload::step_name step_of(std::uint32_t occurrence)
{
    return {id, occurrence, 0};
}

void finish_occurrence(scheduler::job& it, std::uint32_t number)
{
    for (std::uint32_t s = 0; s < it.spec().steps.size(); ++s)
    {
        auto const name = workload::step_name{id, number, s};
        for (std::uint32_t n = 0; n < it.spec().steps[s].tasks; ++n)
        {
            it.edit({name, n}).phase = task_phase::done;
        }
        it.find(name)->recount();
    }
    it.retire_complete_occurrences();
}

/// The store's records of one job.
using record_map = std::map<std::string, std::string>;

void store(scheduler::job& it, record_map& to)
{
    for (auto const& each : scheduler::take_part_records(it))
    {
        if (each.value.empty())
        {
            to.erase(each.key);
        }
        else
        {
            to[each.key] = each.value;
        }
    }
    it.parts.batch_stored();
}

bool read_parts(record_map const& from, scheduler::job& into)
{
    auto const read = base::capture(
        [&]() -> base::result<base::done>
        {
            BOOST_LEAF_CHECK(scheduler::read_state_value(
                from.at(scheduler::state_key(id)), base::instant{}, into));
            for (auto const& [key, value] : from)
            {
                auto const what = scheduler::parse_record_key(key);
                if (what.kind == scheduler::record_kind::part)
                {
                    BOOST_LEAF_CHECK(scheduler::read_part_value(
                        value, what.part, base::instant{}, into));
                }
            }
            return base::done{};
        });
    return read.has_value();
}

struct key_case
{
    char const* text;
    scheduler::record_key key;
};

std::ostream& operator<<(std::ostream& to, key_case const& it)
{
    return to << it.text;
}

using scheduler::record_kind;

key_case const key_cases[] = {
    {"j:00000000000000ab", {record_kind::spec, id, {}}},
    {"js:00000000000000ab", {record_kind::partitioned_spec, id, {}}},
    {"s:00000000000000ab", {record_kind::state, id, {}}},
    {"t:00000000000000ab.7", {record_kind::part, id, {7}}},
    {"t:00000000000000ab.7.1.12", {record_kind::part, id, {7, 1, 12}}},
    {"t:00000000000000ab.7.1", {}},
    {"t:00000000000000ab.7.1.", {}},
    {"t:00000000000000ab.x", {}},
    {"t:00000000000000ab7", {}},
    {"t:ab.7", {}},
    {"s:00000000000000ab.7", {}},
    {"s:", {}},
    {"owner", {}},
};

char const* const unreadable[] = {
    "",
    "{",
    R"({"t":[7]})",
    R"({"t":[[5,0,0,0,""]]})",
    R"({"t":[[0,9]]})",
    R"({"t":[[-1,0]]})",
    R"({"w":[[0]]})",
};

} // namespace

BOOST_AUTO_TEST_SUITE(part_record)

BOOST_DATA_TEST_CASE(keys_are_told_apart,
                     boost::unit_test::data::make(key_cases))
{
    auto const read = scheduler::parse_record_key(sample.text);
    BOOST_TEST((read == sample.key));
    if (read.kind == record_kind::part)
    {
        BOOST_TEST(scheduler::part_key(id, read.part) == sample.text);
    }
}

BOOST_AUTO_TEST_CASE(a_partitioned_state_survives_a_round_trip)
{
    auto it = made();
    auto& step = it.open_occurrence(0, base::instant{}).steps[0];
    it.edit({step_of(0), 0}) = {
        task_phase::placed, 4, 1, "check", "i-1", {}, {3}, {}};
    it.edit({step_of(0), 3}) = {
        task_phase::waiting,     2, 1, "other", {}, {4, 2}, {},
        {{1, "i-2"}, {2, "i-3"}}};
    it.edit({step_of(0), 4}).phase = task_phase::done;
    step.gang_failures = 1;
    step.gang_failed_run = 3;
    it.note_step_changed(step_of(0));
    it.add_remaining({{step_of(0), 3}, 1}, "i-2");
    it.open_occurrence(1, base::instant{});
    finish_occurrence(it, 1);
    record_map records;
    store(it, records);
    // The specification, the head, three parts and the note of occurrence 1.
    BOOST_TEST(records.size() == 6U);
    auto copy = made();
    BOOST_REQUIRE(read_parts(records, copy));
    auto const& back = copy.occurrences.at(0).steps[0];
    BOOST_TEST((back.tasks == step.tasks));
    BOOST_TEST(back.gang_failures == 1U);
    BOOST_TEST(back.gang_failed_run == 3U);
    BOOST_TEST(back.done == 1U);
    BOOST_TEST(back.waiting == 3U);
    BOOST_TEST((copy.remaining_attempts == it.remaining_attempts));
    BOOST_TEST(copy.completed.contains(1));
    BOOST_TEST(!copy.occurrences.contains(1));
    BOOST_TEST(copy.next_occurrence() == 2U);
}

/// Guards against occurrences that are run again because the note that they are
/// complete is gone too early, and against notes that are never deleted.
BOOST_AUTO_TEST_CASE(the_head_replaces_the_notes_of_complete_occurrences)
{
    auto it = made();
    record_map records;
    for (std::uint32_t n = 0; n < 3; ++n)
    {
        it.open_occurrence(n, base::instant{});
    }
    finish_occurrence(it, 2);
    store(it, records);
    BOOST_TEST(records.contains(scheduler::part_key(id, {2})));
    finish_occurrence(it, 1);
    store(it, records);
    BOOST_TEST(records.contains(scheduler::part_key(id, {1})));
    finish_occurrence(it, 0);
    store(it, records);
    // The specification and the head.
    BOOST_TEST(records.size() == 2U);
    auto copy = made();
    BOOST_REQUIRE(read_parts(records, copy));
    BOOST_TEST(copy.completed.all_below() == 3U);
    BOOST_TEST(!copy.complete());
}

/// Guards against a change that is never stored: its batch was not, and only
/// what changed afterwards was written again.
BOOST_AUTO_TEST_CASE(what_was_not_stored_is_written_again)
{
    auto it = made();
    it.open_occurrence(0, base::instant{});
    it.edit({step_of(0), 0}).run = 1;
    auto const first = scheduler::take_part_records(it);
    it.parts.batch_not_stored();
    BOOST_TEST((scheduler::take_part_records(it) == first));
    it.parts.batch_not_stored();
    it.edit({step_of(0), 4}).run = 1;
    BOOST_TEST(scheduler::take_part_records(it).size() == first.size() + 1);
    it.parts.batch_stored();
    BOOST_TEST(scheduler::take_part_records(it).empty());
}

/// Guards against tasks that run again after an upgrade, wherever in the
/// replacement of the older release's records its owner is lost.
BOOST_AUTO_TEST_CASE(records_of_an_older_release_are_replaced)
{
    using scheduler_test::scheduler_fixture;
    auto spec = scheduler_fixture::job(0xab, 3);
    spec.repeats = {3, 0, 100};
    // Occurrence 0 is complete, of occurrence 1 one task is done and one runs.
    record_map const former{
        {scheduler::spec_key(id),
         scheduler::spec_value(scheduler::job{spec, 0, base::instant{}})},
        {scheduler::state_key(id),
         R"({"p":1,"b":1,"o":[[0,[[0,0,0,[[0,2],[1,2],[2,2]]]]],)"
         R"([1,[[0,0,0,[[0,2],[1,1,4,0,"a"]]]]]]})"}};
    scheduler_fixture first{former};
    auto const batch = first.decisions.take_batch(first.now);
    BOOST_TEST(batch.size() == 4U);
    for (std::size_t stored = 0; stored <= batch.size(); ++stored)
    {
        auto records = former;
        for (std::size_t n = 0; n < stored; ++n)
        {
            auto const& it = batch[n];
            it.value.empty() ? void(records.erase(it.key))
                             : void(records[it.key] = it.value);
        }
        scheduler_fixture next{records};
        next.list("a");
        auto const running = scheduler::attempt_name{{{id, 1, 0}, 1}, 4};
        next.report("a", {{running, {}, 10}});
        std::ignore = next.starts();
        auto const& job = *next.decisions.jobs().find(id);
        BOOST_TEST(job.completed.all_below() == 1U);
        auto const& tasks = job.occurrences.at(1).steps[0].tasks;
        BOOST_TEST((tasks[0].phase == task_phase::done));
        BOOST_TEST((tasks[1].phase == task_phase::placed));
        BOOST_TEST(tasks[1].run == 4U);
        BOOST_TEST(tasks[2].run == 1U);
        BOOST_TEST(!next.records.contains(scheduler::spec_key(id)));
        BOOST_TEST(next.records.contains(scheduler::partitioned_spec_key(id)));
    }
}

/// Guards against an owner that runs out of memory under a job that is due more
/// often than the cell can run it.
BOOST_AUTO_TEST_CASE(a_backlog_of_occurrences_is_opened_bit_by_bit)
{
    using scheduler_test::scheduler_fixture;
    auto rules = scheduler_fixture::rules();
    rules.max_open_tasks = 6;
    scheduler_fixture it{{}, rules};
    auto spec = scheduler_fixture::job(0xab, 3);
    spec.repeats = {100, 0, 0};
    it.decisions.submit(spec, 0, it.now);
    for (int n = 0; n < 10; ++n)
    {
        it.decisions.tick(1'000, it.now);
    }
    BOOST_TEST(it.decisions.jobs().find(id)->occurrences.size() == 2U);
    it.list("a");
    it.report("a");
    auto const started = it.starts();
    BOOST_REQUIRE(started.size() == 4U);
    std::vector<scheduler::ended_attempt_report> ended;
    for (std::uint64_t n = 0; n < 3; ++n)
    {
        ended.push_back(
            {n + 1, started[n].attempt, scheduler::end_reason::done, {}});
    }
    it.report("a", {{started[3].attempt, {}, 10}}, ended);
    it.decisions.tick(1'000, it.now);
    BOOST_TEST(it.decisions.jobs().find(id)->next_occurrence() == 3U);
}

/// Guards against an overflow: such an occurrence is never due.
BOOST_AUTO_TEST_CASE(an_occurrence_beyond_the_end_of_time_is_never_due)
{
    using scheduler_test::scheduler_fixture;
    scheduler_fixture it;
    auto spec = scheduler_fixture::job(0xab, 1);
    constexpr auto most = std::numeric_limits<std::int64_t>::max();
    spec.repeats = {5, 0, most / 2};
    it.decisions.submit(spec, 0, it.now);
    for (int n = 0; n < 10; ++n)
    {
        it.decisions.tick(most - 1, it.now);
    }
    BOOST_TEST(it.decisions.jobs().find(id)->next_occurrence() == 3U);
}

BOOST_DATA_TEST_CASE(an_unreadable_part_is_an_error,
                     boost::unit_test::data::make(unreadable))
{
    auto it = made();
    auto const read = base::capture(
        [&]() -> base::result<base::done>
        {
            BOOST_LEAF_CHECK(scheduler::read_part_value(sample, {0, 0, 0},
                                                        base::instant{}, it));
            return base::done{};
        });
    BOOST_TEST(!read.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
