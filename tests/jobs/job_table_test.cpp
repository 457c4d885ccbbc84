#include <jobs/job_table.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>

using namespace berylhill;

namespace
{

model::job_request request(std::string key = {})
{
    model::job_request it;
    it.contract = "kitakaze";
    it.name = "monthly-report";
    it.tasks = 3;
    it.key = std::move(key);
    return it;
}

jobs::stamped_record at(std::int64_t epoch, jobs::record value)
{
    return {epoch, std::move(value)};
}

} // namespace

BOOST_AUTO_TEST_SUITE(job_table)

BOOST_AUTO_TEST_CASE(records_survive_json_round_trip)
{
    std::array const records{
        at(7, jobs::shard_opened{"entry-1", 3}),
        at(7, jobs::job_accepted{"j0-1", request("k"), 12}),
        at(7, jobs::start_intent{{{"j0-1", 2}, 5}, "workers/a/r1", 12}),
        at(7, jobs::task_done{{"j0-1", 1}}),
        at(7, jobs::job_ended{"j0-1", model::job_state::failed, "why", 99}),
        at(7, jobs::job_snapshot{"j0-2",
                                 request(),
                                 5,
                                 {0, 2},
                                 {{{{"j0-2", 1}, 4}, "workers/a/r2", 3}},
                                 model::job_state::running,
                                 "",
                                 0}),
    };
    for (auto const& it : records)
    {
        auto const back = base::capture(
            [&] { return jobs::stamped_record_from(jobs::to_json(it)); });
        BOOST_REQUIRE(back.has_value());
        BOOST_CHECK(back.value() == it);
    }
}

// An owner's append is delayed and takes effect after another entry has taken
// over the shard. The new owner has not read that record, so its job would be
// accepted in the log but never run. Every reader must ignore the record.
BOOST_AUTO_TEST_CASE(late_append_of_superseded_owner_is_ignored)
{
    jobs::job_table it;
    BOOST_TEST(it.apply(at(4, jobs::shard_opened{"entry-1", 1})));
    BOOST_TEST(it.apply(at(9, jobs::shard_opened{"entry-2", 2})));
    BOOST_TEST(
        !it.apply(at(4, jobs::job_accepted{"j0-late", request("k"), 1})));
    BOOST_CHECK(it.find("j0-late") == nullptr);
    BOOST_CHECK(!it.job_of_key("kitakaze", "k").has_value());
    BOOST_TEST(it.term() == 2);
}

BOOST_AUTO_TEST_CASE(key_stays_with_first_job)
{
    jobs::job_table it;
    it.apply(at(1, jobs::job_accepted{"j0-1", request("winter"), 1}));
    it.apply(at(1, jobs::job_accepted{"j0-2", request("winter"), 2}));
    BOOST_TEST(it.job_of_key("kitakaze", "winter").value() == "j0-1");
    BOOST_CHECK(!it.job_of_key("cantabrica", "winter").has_value());
}

BOOST_AUTO_TEST_CASE(final_state_does_not_change)
{
    jobs::job_table it;
    it.apply(at(1, jobs::job_accepted{"j0-1", request(), 1}));
    it.apply(at(
        1, jobs::job_ended{"j0-1", model::job_state::cancelled, "asked", 5}));
    it.apply(
        at(1, jobs::job_ended{"j0-1", model::job_state::succeeded, "", 6}));
    BOOST_CHECK(it.find("j0-1")->state == model::job_state::cancelled);
}

// Retention deletes the records of a job that runs for a month. Without a
// snapshot the next owner would not know the job and would never finish it.
BOOST_AUTO_TEST_CASE(snapshot_restores_table_after_retention)
{
    jobs::job_table before;
    before.apply(at(1, jobs::shard_opened{"entry-1", 1}));
    before.apply(at(1, jobs::job_accepted{"j0-1", request("k"), 1}));
    before.apply(at(1, jobs::task_done{{"j0-1", 2}}));
    before.apply(
        at(1, jobs::start_intent{{{"j0-1", 0}, 10'001}, "workers/a/r1", 12}));
    before.apply(at(1, jobs::job_accepted{"j0-2", request(), 4}));
    before.apply(
        at(1, jobs::job_ended{"j0-2", model::job_state::succeeded, "", 9}));
    jobs::job_table after;
    after.apply(at(1, jobs::shard_opened{"entry-1", 1}));
    for (auto const& it : before.snapshot())
    {
        after.apply(at(1, it));
    }
    BOOST_CHECK(after == before);
}

BOOST_AUTO_TEST_CASE(snapshot_does_not_undo_later_records)
{
    jobs::job_table it;
    it.apply(at(1, jobs::job_accepted{"j0-1", request(), 1}));
    auto const older = it.snapshot();
    it.apply(at(1, jobs::task_done{{"j0-1", 0}}));
    it.apply(at(1, older.front()));
    BOOST_TEST(it.find("j0-1")->done.contains(0));
}

namespace
{

struct expiry_case
{
    std::int64_t now_us;
    std::size_t left;
};

std::ostream& operator<<(std::ostream& out, expiry_case const& it)
{
    return out << it.now_us;
}

std::array const s_expiry_cases{
    expiry_case{10'000'000, 2},
    expiry_case{11'000'001, 1},
    expiry_case{99'000'000, 1},
};

} // namespace

BOOST_DATA_TEST_CASE(only_finished_jobs_expire, s_expiry_cases, it)
{
    jobs::job_table table;
    table.apply(at(1, jobs::job_accepted{"j0-1", request("k"), 1}));
    table.apply(at(1, jobs::job_accepted{"j0-2", request(), 1}));
    table.apply(at(
        1, jobs::job_ended{"j0-1", model::job_state::failed, "", 1'000'000}));
    table.remove_expired(it.now_us, [](auto const&) { return 10.0; });
    BOOST_TEST(table.jobs().size() == it.left);
    BOOST_TEST(table.job_of_key("kitakaze", "k").has_value() == (it.left == 2));
}

BOOST_AUTO_TEST_SUITE_END()
