#include "bounded_cell.hpp"
#include "crowd.hpp"
#include "texts.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

#include <algorithm>
#include <memory>
#include <ostream>
#include <utility>
#include <vector>

using namespace berylhill;
using namespace berylhill::clients_test;

namespace
{

/// Many clients, each of which keeps to the limits of a request.
struct crowd_case
{
    char const* name;
    std::size_t clients;
    std::string first;
    std::string again;
    /// What each sends before it falls silent.
    std::size_t most_bytes;
};

std::ostream& operator<<(std::ostream& to, crowd_case const& it)
{
    return to << it.name;
}

constexpr std::size_t body_bytes = 262'000;

std::string head_of(std::size_t body, std::string const& fields = {})
{
    return "POST /q/0000000000000001 HTTP/1.1\r\nHost: h\r\n" + fields +
           "Content-Length: " + std::to_string(body) + "\r\n\r\n";
}

std::string const chunked_head =
    "POST /q/0000000000000001 HTTP/1.1\r\nHost: h\r\n"
    "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n";

/// A job of many small steps, as large as a body may be.
std::string large_job()
{
    std::string const step = R"({"count":1,"cpu":500000,"memMb":1},)";
    auto steps = repeated(step, body_bytes - 1'000);
    steps.pop_back();
    return R"({"taskSpec":"t","steps":[)" + steps + "]}";
}

/// A job of as many steps as are allowed, with long texts.
std::string job_of_long_texts()
{
    constexpr std::size_t steps = 900;
    auto const step = R"({"count":1,"cpu":500000,"image":")" +
                      std::string(240, 'i') + R"("},)";
    auto all = repeated(step, steps * step.size());
    all.pop_back();
    return R"({"taskSpec":"t","steps":[)" + all + "]}";
}

constexpr std::size_t all_of_it = 1'000'000;

crowd_case const crowd_cases[] = {
    {"bodies that stop before their end",
     400,
     head_of(body_bytes + 100) + std::string(body_bytes, 'x'),
     {},
     all_of_it},
    {"whole requests, then nothing",
     400,
     head_of(body_bytes) + std::string(body_bytes, 'x'),
     {},
     all_of_it},
    {"many empty header fields and a body",
     300,
     head_of(body_bytes, repeated("a:\r\n", 16'000)) +
         std::string(200'000, 'x'),
     {},
     all_of_it},
    {"whole jobs at once",
     300,
     head_of(large_job().size()) + large_job(),
     {},
     all_of_it},
    {"whole jobs of long texts at once",
     300,
     head_of(job_of_long_texts().size()) + job_of_long_texts(),
     {},
     all_of_it},
    {"requests behind one another",
     300,
     repeated("GET /q/ HTTP/1.1\r\nHost: h\r\n\r\n", 64'000),
     {},
     all_of_it},
};

settings::cell_limit_settings few_descriptors()
{
    auto out = small_machine();
    // The least number of connections of callers is 64.
    out.descriptors = 864;
    return out;
}

struct cell_of_few_descriptors : bounded_cell
{
    cell_of_few_descriptors()
        : bounded_cell{few_descriptors()}
    {
    }
};

/// More clients than connections of callers.
struct silent_case
{
    char const* name;
    std::string first;
};

std::ostream& operator<<(std::ostream& to, silent_case const& it)
{
    return to << it.name;
}

silent_case const silent_cases[] = {
    {"nothing", {}},
    {"one byte", "P"},
    {"a request, then nothing", "GET /q/ HTTP/1.1\r\nHost: h\r\n\r\n"},
};

} // namespace

BOOST_AUTO_TEST_SUITE(crowds)

/// Guards against a process that runs out of memory: each client keeps to the
/// limits of a request, and there are many.
BOOST_DATA_TEST_CASE_F(bounded_cell,
                       many_requests_together_are_bounded,
                       boost::unit_test::data::make(crowd_cases))
{
    crowd all{loop, {sample.first, sample.again, sample.most_bytes}};
    all.join(callers_port(0), sample.clients);
    BOOST_TEST(run_until([&] { return all.done(); }));
    check_all();
}

/// Guards against callers who get no connection: others hold all of them and
/// send nothing.
BOOST_DATA_TEST_CASE_F(cell_of_few_descriptors,
                       silent_connections_keep_nobody_out,
                       boost::unit_test::data::make(silent_cases))
{
    constexpr std::size_t clients = 150;
    constexpr std::size_t most_bytes = 1'000;
    crowd all{loop, {sample.first, {}, most_bytes}};
    all.join(callers_port(0), clients);
    BOOST_TEST(run_until([&] { return all.done(); }));
    // Each of these would be refused while the crowd holds its connections.
    constexpr std::uint64_t callers = 5;
    for (std::uint64_t id = 1; id <= callers; ++id)
    {
        BOOST_TEST(submit(0, id) == 200U);
    }
    check(0);
}

/// Guards against a process that is told to stop and serves nobody else: its
/// listeners for probes and metrics are full of silent connections.
BOOST_FIXTURE_TEST_CASE(silent_connections_keep_no_probe_out,
                        cell_of_few_descriptors)
{
    constexpr std::size_t clients = 150;
    crowd all{loop, {"G", {}, 1}};
    for (std::uint16_t listener = 1; listener <= 3; ++listener)
    {
        all.join(static_cast<std::uint16_t>(callers_port(0) + listener),
                 clients);
    }
    BOOST_TEST(run_until([&] { return all.done(); }));
    BOOST_TEST(ready(0));
    check(0);
}

/// Guards against a cell that ends together: a crowd is at every listener of
/// every process while the owner is lost.
BOOST_FIXTURE_TEST_CASE(a_crowd_everywhere_outlasts_no_takeover, bounded_cell)
{
    constexpr std::uint16_t listeners = 4;
    constexpr std::size_t clients = 8;
    constexpr std::size_t most_bytes = std::size_t{4} * 1024 * 1024;
    std::vector<std::unique_ptr<crowd>> all;
    for (auto const& [first, again] :
         {std::pair{chunked_head, repeated("a: b\r\n", 64'000)},
          std::pair{head_of(body_bytes), std::string(64'000, 'x')},
          std::pair{std::string{"P"}, std::string{}}})
    {
        all.push_back(
            std::make_unique<crowd>(loop, script{first, again, most_bytes}));
        for (std::size_t n = 0; n < processes; ++n)
        {
            for (std::uint16_t listener = 0; listener < listeners; ++listener)
            {
                all.back()->join(
                    static_cast<std::uint16_t>(callers_port(n) + listener),
                    clients);
            }
        }
    }
    auto const first = owner();
    BOOST_REQUIRE(first.has_value());
    stop_process(*first);
    start_process(*first);
    BOOST_TEST(run_until(
        [&]
        {
            return std::ranges::all_of(all, [](auto const& it)
                                       { return it->done(); });
        }));
    BOOST_TEST(all_ready());
    check_all();
}

/// Guards against descriptors, or memory, that closed connections keep.
BOOST_FIXTURE_TEST_CASE(connections_that_come_and_go_leave_nothing,
                        bounded_cell)
{
    constexpr std::size_t rounds = 40;
    constexpr std::size_t clients = 100;
    constexpr std::size_t slack = 32;
    check(0);
    auto const before = cells[0]->descriptors();
    for (std::size_t n = 0; n < rounds; ++n)
    {
        crowd some{loop, {"GET /q/ HTTP/1.1\r\nHost: h\r\n\r\n", {}, 1'000}};
        some.join(callers_port(0), clients);
        BOOST_TEST(run_until([&] { return some.done(); }));
    }
    check(0);
    BOOST_TEST(
        run_until([&] { return cells[0]->descriptors() < before + slack; }));
}

/// Guards against logs that outgrow everything: what a client sends is written
/// for each of its requests.
BOOST_FIXTURE_TEST_CASE(a_long_path_is_not_logged_whole, bounded_cell)
{
    constexpr std::size_t requests = 100;
    constexpr std::size_t path_bytes = 15'000;
    constexpr std::size_t most_bytes_per_request = 2'048;
    auto const before = std::filesystem::file_size(log_path(0));
    for (std::size_t n = 0; n < requests; ++n)
    {
        BOOST_TEST(call(0, network::http_method::get,
                        "/none/" + std::string(path_bytes, 'x')) == 404U);
    }
    check(0);
    auto const written = std::filesystem::file_size(log_path(0)) - before;
    BOOST_TEST(written < requests * most_bytes_per_request);
}

BOOST_AUTO_TEST_SUITE_END()
