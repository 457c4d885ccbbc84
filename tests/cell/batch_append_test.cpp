#include "fake_log.hpp"

#include <cell/batch_append.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

using namespace berylhill;
using namespace berylhill::cell_test;
using cell::reliable_append_outcome;
using scheduler::rejected_records;

namespace
{

using record_list = std::vector<scheduler::record>;

/// Two records of each job.
record_list records_of(std::uint64_t first, std::uint64_t last)
{
    record_list out;
    for (auto n = first; n <= last; ++n)
    {
        out.push_back({scheduler::spec_key({n}), "spec"});
        out.push_back({scheduler::state_key({n}), "state"});
    }
    return out;
}

struct batch_case
{
    char const* name;
    /// The last of the jobs, which are numbered from 1.
    std::uint64_t last;
    cell::append_limits limits;
    /// The job whose records the store rejects; 0: none.
    std::uint64_t rejected;
    std::size_t most_appends;
};

std::ostream& operator<<(std::ostream& to, batch_case const& it)
{
    return to << it.name;
}

constexpr cell::append_limits usual{};
/// One call has the records of two jobs.
constexpr cell::append_limits two_jobs{100, 120};
/// One call has a single record.
constexpr cell::append_limits one_record{100, 40};

batch_case const cases[] = {
    {"one call", 10, usual, 0, 1},
    {"several calls", 10, two_jobs, 0, 5},
    {"a call for each record", 3, one_record, 0, 6},
    {"a job alone is rejected", 1, usual, 1, 1},
    {"the first of many is rejected", 16, usual, 1, 9},
    {"one in the middle of many is rejected", 16, usual, 7, 9},
    {"the last of many is rejected", 16, usual, 16, 9},
    {"one of several calls is rejected", 10, two_jobs, 6, 7},
};

struct fixture
{
    boost::asio::io_context loop;
    base::system_clock clock;
    fake_log log{loop};
    cell::store_latency latency;
    std::optional<cell::batch_outcome> end;

    void run()
    {
        for (int n = 0; n < 400 && !end; ++n)
        {
            loop.restart();
            loop.run_for(std::chrono::milliseconds{5});
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(batch_append, fixture)

/// Guards against records of other jobs that are not stored because those of
/// one job are rejected, and against calls that are larger than the store
/// takes.
BOOST_DATA_TEST_CASE(all_but_rejected_records_are_stored,
                     boost::unit_test::data::make(cases))
{
    log.limits = sample.limits;
    if (sample.rejected != 0)
    {
        log.rejected_key = text_of(workload::job_id{sample.rejected});
    }
    cell::batch_append append{loop, clock, log, latency, sample.limits};
    append.begin(0, records_of(1, sample.last),
                 [this](cell::batch_outcome const& it) { end = it; });
    run();
    BOOST_REQUIRE(end.has_value());
    BOOST_TEST((end->end == reliable_append_outcome::stored));
    BOOST_TEST(!append.busy());
    auto expected = records_of(1, sample.last);
    std::vector<scheduler::rejected_job> rejected;
    if (sample.rejected != 0)
    {
        auto const others = records_of(sample.rejected, sample.rejected);
        std::erase_if(expected, [&](scheduler::record const& it)
                      { return std::ranges::count(others, it) > 0; });
        rejected = {{{sample.rejected}, rejected_records::not_stored}};
    }
    BOOST_TEST((log.log == expected));
    BOOST_TEST((end->rejected == rejected));
    BOOST_TEST(end->next == expected.size());
    BOOST_TEST(log.appends <= sample.most_appends);
}

/// Guards against a job that is reported as not stored although the first of
/// its records, which went into a call of their own, are.
BOOST_AUTO_TEST_CASE(a_job_that_is_stored_in_part_may_be_stored)
{
    log.limits = one_record;
    log.rejected_key = "s:";
    cell::batch_append append{loop, clock, log, latency, one_record};
    append.begin(0, records_of(1, 2),
                 [this](cell::batch_outcome const& it) { end = it; });
    run();
    BOOST_REQUIRE(end.has_value());
    BOOST_TEST((end->rejected == std::vector<scheduler::rejected_job>{
                                     {{1}, rejected_records::may_be_stored},
                                     {{2}, rejected_records::may_be_stored}}));
    BOOST_TEST(log.log.size() == 2U);
}

/// Guards against a job that is reported as not stored although an attempt
/// without an answer may still store it.
BOOST_AUTO_TEST_CASE(a_rejection_after_silence_is_in_doubt)
{
    log.append_behaviors = {fate::delay};
    cell::batch_append append{loop, clock, log, latency, usual};
    append.begin(0, records_of(1, 1),
                 [this](cell::batch_outcome const& it) { end = it; });
    log.rejected_key = "s:";
    run();
    BOOST_REQUIRE(end.has_value());
    BOOST_TEST((end->rejected == std::vector<scheduler::rejected_job>{
                                     {{1}, rejected_records::may_be_stored}}));
}

/// Guards against a doubt that outlives its reason: what is stored at the
/// offset keeps the silent attempt from being carried out.
BOOST_AUTO_TEST_CASE(another_append_ends_the_doubt)
{
    log.append_behaviors = {fate::delay};
    cell::batch_append append{loop, clock, log, latency, usual};
    append.begin(0, records_of(1, 2),
                 [this](cell::batch_outcome const& it) { end = it; });
    log.rejected_key = text_of(workload::job_id{1});
    run();
    BOOST_REQUIRE(end.has_value());
    BOOST_TEST((end->rejected == std::vector<scheduler::rejected_job>{
                                     {{1}, rejected_records::not_stored}}));
    log.deliver_late();
    BOOST_TEST((log.log == records_of(2, 2)));
}

/// Guards against callers who are told that their jobs were not accepted
/// although a part of the batch is stored.
BOOST_AUTO_TEST_CASE(a_batch_that_is_stored_in_part_is_not_taken_back)
{
    log.limits = two_jobs;
    log.append_behaviors.assign(1'000, fate::refuse);
    log.append_behaviors.push_front(fate::store);
    cell::batch_append append{loop, clock, log, latency, two_jobs};
    append.begin(0, records_of(1, 4),
                 [this](cell::batch_outcome const& it) { end = it; });
    loop.run_for(std::chrono::milliseconds{20});
    BOOST_TEST(log.log.size() == 4U);
    BOOST_TEST(!append.take_back());
    log.append_behaviors.clear();
    run();
    BOOST_REQUIRE(end.has_value());
    BOOST_TEST((log.log == records_of(1, 4)));
}

BOOST_AUTO_TEST_SUITE_END()
