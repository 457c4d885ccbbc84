#include <scheduler/record.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace berylhill;

namespace
{

workload::job_spec full_spec()
{
    workload::job_spec out;
    out.id = {0x00ab};
    out.queue = "q";
    out.account = "team";
    out.payload = "a \"payload\"\n";
    workload::step_spec step;
    step.tasks = 3;
    step.need = {1, 2, 3};
    step.estimate_ms = 4;
    step.image = "image";
    step.required_label = "label";
    step.preferred_rack = "r1";
    step.max_per_instance = 5;
    step.max_unavailable = 6;
    step.response_time_target_ms = 7;
    step.can_checkpoint = true;
    step.gang = true;
    step.same_rack = true;
    step.copies_allowed = true;
    step.long_running = true;
    step.uses_spare_cpu = true;
    auto second = workload::step_spec{};
    second.tasks = 1;
    second.depends_on = {0};
    out.steps = {step, second};
    out.repeats = {2, 1'000, 500};
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(record)

BOOST_AUTO_TEST_CASE(a_specification_survives_a_round_trip)
{
    auto const spec = full_spec();
    auto const written =
        scheduler::spec_value(scheduler::job{spec, 77, base::instant{}});
    auto const read = base::capture(
        [&] { return scheduler::parse_spec_value(spec.id, written); });
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST((read.value().spec == spec));
    BOOST_TEST(read.value().accepted_ms == 77);
}

/// Guards against jobs beyond their account's share counting as within it after
/// a change of owner.
BOOST_AUTO_TEST_CASE(the_share_standing_survives_a_round_trip)
{
    auto const spec = full_spec();
    for (auto const standing : {scheduler::share_standing::within_share,
                                scheduler::share_standing::over_share})
    {
        scheduler::job it{spec, 77, base::instant{}};
        it.standing = standing;
        auto const read =
            base::capture([&, text = scheduler::spec_value(it)]
                          { return scheduler::parse_spec_value({1}, text); });
        BOOST_REQUIRE(read.has_value());
        BOOST_TEST((read.value().standing == standing));
    }
}

/// Guards against any account being able to see the end of a job whose
/// specification record is deleted.
BOOST_AUTO_TEST_CASE(the_end_of_a_job_names_its_account)
{
    auto spec = full_spec();
    spec.repeats = {};
    scheduler::job it{spec, 77, base::instant{}};
    it.phase = scheduler::job_phase::completed;
    it.remaining_attempts = {
        {{{{{0x00ab}, 1, 2}, 3}, 4}, "i", {5, 6, 7}, {8, 6, 7}}};
    it.finished_ms = 9;
    auto const read = base::capture(
        [text = scheduler::state_value(it)]
        { return scheduler::parse_stored_status({0x00ab}, text); });
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST((read.value() ==
                scheduler::stored_status{scheduler::job_phase::completed,
                                         "team", it.remaining_attempts, 9}));
    auto const before = base::capture(
        [] { return scheduler::parse_stored_status({1}, R"({"p":2})"); });
    BOOST_REQUIRE(before.has_value());
    BOOST_TEST(before.value().account.empty());
}

/// Guards against the same for a job whose state is partitioned.
BOOST_AUTO_TEST_CASE(the_head_of_a_partitioned_state_names_its_account)
{
    for (auto const phase :
         {scheduler::job_phase::running, scheduler::job_phase::cancelled})
    {
        scheduler::job it{full_spec(), 77, base::instant{}};
        BOOST_TEST(it.partitioned());
        it.phase = phase;
        it.finished_ms = finished(phase) ? 9 : 0;
        auto const read = base::capture(
            [text = scheduler::state_value(it)]
            { return scheduler::parse_stored_status({0x00ab}, text); });
        BOOST_REQUIRE(read.has_value());
        BOOST_TEST((read.value() == scheduler::stored_status{
                                        phase, "team", {}, it.finished_ms}));
    }
}

BOOST_AUTO_TEST_CASE(a_state_survives_a_round_trip)
{
    auto spec = full_spec();
    spec.repeats = {};
    scheduler::job it{spec, 0, base::instant{}};
    BOOST_TEST(!it.partitioned());
    auto& step = it.open_occurrence(0, base::instant{}).steps[0];
    auto const name = workload::step_name{spec.id, 0, 0};
    it.edit({name, 0}) = {
        scheduler::task_phase::placed, 4, 1, "check", "i-1", {}, {3}, {}};
    it.edit({name, 1}) = {
        scheduler::task_phase::waiting, 2, 1, "other", {}, {4, 2}, {},
        {{1, "i-2"}, {2, "i-3"}}};
    it.edit({name, 2}).phase = scheduler::task_phase::done;
    step.gang_failures = 1;
    step.gang_failed_run = 3;
    it.begun = true;
    it.phase = scheduler::job_phase::running;
    scheduler::job copy{spec, 0, base::instant{}};
    auto const read = base::capture(
        [&]() -> base::result<base::done>
        {
            BOOST_LEAF_CHECK(scheduler::read_state_value(
                scheduler::state_value(it), base::instant{}, copy));
            return base::done{};
        });
    BOOST_REQUIRE(read.has_value());
    auto const& back = copy.occurrences.at(0).steps[0];
    BOOST_TEST((back.tasks == step.tasks));
    BOOST_TEST(back.gang_failures == 1U);
    BOOST_TEST(back.gang_failed_run == 3U);
    BOOST_TEST(back.done == 1U);
    BOOST_TEST(back.waiting == 1U);
    BOOST_TEST(copy.begun);
    BOOST_TEST((copy.phase == scheduler::job_phase::running));
}

/// Guards against a loss that can't be taken back, or one that is taken back
/// twice, where an older release has written the count.
BOOST_AUTO_TEST_CASE(losses_of_an_older_release_stay_counted)
{
    auto spec = full_spec();
    spec.repeats = {};
    char const* const states[] = {
        R"({"p":1,"o":[[0,[[0,0,0,[[0,0,2,0,"","",2,0]]]]]]})",
        R"({"p":1,"o":[[0,[[0,0,0,[[0,0,2,0,"","",2,0,[],[[1,"a"],[2,"b"],[3,"c"]]]]]]]]})",
    };
    for (auto const* const text : states)
    {
        scheduler::job it{spec, 0, base::instant{}};
        auto const read = base::capture(
            [&]() -> base::result<base::done>
            {
                BOOST_LEAF_CHECK(
                    scheduler::read_state_value(text, base::instant{}, it));
                return base::done{};
            });
        BOOST_REQUIRE(read.has_value());
        auto const& task = it.occurrences.at(0).steps[0].tasks[0];
        BOOST_TEST((task.lost == scheduler::loss_count{2, 0}));
        BOOST_TEST(task.unconfirmed_losses.empty());
    }
}

char const* const unreadable[] = {
    "",
    "{",
    R"({"p":9})",
    R"({"p":1,"o":[7]})",
    R"({"p":1,"o":[[0,[[5,0,0,[]]]]]})",
    R"({"p":1,"o":[[0,[[0,0,0,[[9,1]]]]]]})",
};

BOOST_DATA_TEST_CASE(an_unreadable_state_is_an_error,
                     boost::unit_test::data::make(unreadable))
{
    scheduler::job it{full_spec(), 0, base::instant{}};
    auto const read = base::capture(
        [&]() -> base::result<base::done>
        {
            BOOST_LEAF_CHECK(
                scheduler::read_state_value(sample, base::instant{}, it));
            return base::done{};
        });
    BOOST_TEST(!read.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
