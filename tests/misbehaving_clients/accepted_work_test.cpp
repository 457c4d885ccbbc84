#include "bounded_cell.hpp"

#include "stand_ins/documents.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

#include <csignal>
#include <ostream>

using namespace berylhill;
using namespace berylhill::clients_test;

namespace
{

/// Small requests that ask for much work.
struct work_case
{
    char const* name;
    std::size_t jobs;
    std::string body;
    /// Each is cancelled once it was submitted.
    bool cancelled;
};

std::ostream& operator<<(std::ostream& to, work_case const& it)
{
    return to << it.name;
}

std::string listed(std::string const& it, std::size_t n)
{
    auto out = it;
    for (std::size_t k = 1; k < n; ++k)
    {
        out += "," + it;
    }
    return out;
}

std::string job_of(std::string const& steps, std::string const& more = {})
{
    return R"({"taskSpec":"t",)" + more + R"("steps":[)" + steps + "]}";
}

/// More than any instance has, so that nothing of it starts.
std::string const too_large = R"("cpu":1000000)";

work_case const work_cases[] = {
    {"many tasks", 25,
     job_of(listed(R"({"count":10000,)" + too_large + "}", 10)), false},
    {"occurrences that are all due", 60,
     job_of(R"({"count":1000,)" + too_large + "}",
            R"("repeatCount":4000000000,"firstMs":1,"intervalMs":0,)"),
     false},
    {"many steps", 150,
     job_of(listed(R"({"count":1,)" + too_large + "}", 9'000)), false},
    {"steps of ordinary jobs, many jobs", 300,
     job_of(listed(R"({"count":1,)" + too_large + "}", 1'000)), false},
    {"many steps, cancelled", 150,
     job_of(listed(R"({"count":1,)" + too_large + "}", 9'000)), true},
    {"steps without a task", 30, job_of(listed("{}", 80'000)), false},
};

std::string path_of(std::uint64_t id)
{
    return "/q/" + text_of(workload::job_id{id});
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(accepted_work, bounded_cell)

/// Guards against an owner, and then each of its successors, that run out of
/// memory over the work that a few small requests have asked for.
BOOST_DATA_TEST_CASE(accepted_work_fits_every_owner,
                     boost::unit_test::data::make(work_cases))
{
    for (std::uint64_t id = 1; id <= sample.jobs; ++id)
    {
        auto const status =
            call(0, network::http_method::post, path_of(id), sample.body);
        BOOST_TEST((status == 200U || status == 400U || status == 429U ||
                    status == 503U));
        if (sample.cancelled)
        {
            call(0, network::http_method::remove, path_of(id));
        }
    }
    check_all();
    for (int takeover = 0; takeover < 2; ++takeover)
    {
        BOOST_REQUIRE(run_until([&] { return owner().has_value(); }));
        auto const first = *owner();
        stop_process(first);
        start_process(first);
        BOOST_REQUIRE(all_ready());
        check_all();
    }
}

/// Guards against successors that end one after the other: the work was
/// accepted on machines with more memory than theirs.
BOOST_AUTO_TEST_CASE(a_smaller_successor_serves_on)
{
    auto large = small_machine();
    large.memory_mb = 1'024;
    move_to(large);
    constexpr std::uint64_t jobs = 150;
    auto const body =
        job_of(listed(R"({"count":10000,)" + too_large + "}", 10));
    for (std::uint64_t id = 1; id <= jobs; ++id)
    {
        BOOST_TEST(call(0, network::http_method::post, path_of(id), body) ==
                   200U);
    }
    move_to(small_machine());
    for (std::size_t n = 0; n < processes; ++n)
    {
        BOOST_TEST(call(n, network::http_method::get, path_of(1)) == 200U);
        BOOST_TEST(call(n, network::http_method::post, path_of(jobs + 1),
                        body) == 503U);
        check_machine(n);
    }
    for (std::uint64_t id = 1; id <= jobs; ++id)
    {
        BOOST_TEST(call(0, network::http_method::remove, path_of(id)) == 200U);
    }
    check_all();
}

BOOST_AUTO_TEST_SUITE_END()
