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

BOOST_AUTO_TEST_SUITE(book)

BOOST_AUTO_TEST_CASE(every_record_comes_back_equal)
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

// A customer submits a report at an entry that is cut off. Its append lies in
// a buffer, another entry takes the shard over, and the append takes effect
// afterwards. The new owner never saw it: the job would count as accepted in
// the log and never run. The record has to be void for every reader.
BOOST_AUTO_TEST_CASE(a_late_append_of_a_superseded_owner_is_void)
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

BOOST_AUTO_TEST_CASE(the_first_job_keeps_its_key)
{
    jobs::job_table it;
    it.apply(at(1, jobs::job_accepted{"j0-1", request("winter"), 1}));
    it.apply(at(1, jobs::job_accepted{"j0-2", request("winter"), 2}));
    BOOST_TEST(it.job_of_key("kitakaze", "winter").value() == "j0-1");
    BOOST_CHECK(!it.job_of_key("cantabrica", "winter").has_value());
}

BOOST_AUTO_TEST_CASE(a_final_state_is_final)
{
    jobs::job_table it;
    it.apply(at(1, jobs::job_accepted{"j0-1", request(), 1}));
    it.apply(at(
        1, jobs::job_ended{"j0-1", model::job_state::cancelled, "asked", 5}));
    it.apply(
        at(1, jobs::job_ended{"j0-1", model::job_state::succeeded, "", 6}));
    BOOST_CHECK(it.find("j0-1")->state == model::job_state::cancelled);
}

// Retention drops the records of a job that runs for a month. Without a
// record that says it again the next owner would not know of the job, and the
// customer would never get the report.
BOOST_AUTO_TEST_CASE(a_snapshot_gives_the_same_book_after_retention)
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

BOOST_AUTO_TEST_CASE(a_snapshot_does_not_take_back_what_came_after_it)
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

BOOST_DATA_TEST_CASE(finished_jobs_age_out_and_others_stay, s_expiry_cases, it)
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
