#include <tests/command/command_run.hpp>
#include <tests/command/fake_entry.hpp>

#include <api/problem.hpp>
#include <model/json.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <filesystem>
#include <fstream>

using namespace berylhill;
using tests::fake_entry;
using tests::run_command;

BOOST_AUTO_TEST_SUITE(client)

namespace
{

/// Takes a request and closes the connection without an answer.
class silent_entry
{
public:
    silent_entry()
        : m_acceptor{m_context, {boost::asio::ip::make_address("127.0.0.1"), 0}}
        , m_thread{[this]
                   {
                       serve();
                   }}
    {
    }
    silent_entry(silent_entry const&) = delete;
    silent_entry& operator=(silent_entry const&) = delete;
    ~silent_entry()
    {
        m_thread.join();
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" +
               std::to_string(m_acceptor.local_endpoint().port());
    }

private:
    void serve()
    {
        boost::system::error_code ec;
        boost::asio::ip::tcp::socket peer{m_context};
        m_acceptor.accept(peer, ec);
        std::array<char, 512> buf{};
        peer.read_some(boost::asio::buffer(buf), ec);
    }

    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::thread m_thread;
};

/// A port on which nobody listens: bound once and given back.
std::string closed_address()
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor const taken{
        context, {boost::asio::ip::make_address("127.0.0.1"), 0}};
    return "127.0.0.1:" + std::to_string(taken.local_endpoint().port());
}

bool holds(std::string const& text, std::string const& part)
{
    return text.find(part) != std::string::npos;
}

std::string contract_directory()
{
    auto const path =
        std::filesystem::temp_directory_path() / "berylhill-apply";
    std::filesystem::remove_all(path);
    std::filesystem::create_directories(path);
    std::ofstream{path / "kitakaze.json"}
        << R"({"name": "kitakaze", "side": "sapporo", "weight": 2})";
    return path.string();
}

char const* const s_in_force =
    R"({"offset": 41, "complete": true, "contracts": [
        {"version": 40, "operator": "aiko", "at_us": 0,
         "contract": {"name": "kitakaze", "side": "sapporo", "weight": 1}},
        {"version": 30, "operator": "aiko", "at_us": 0,
         "contract": {"name": "old", "side": "sapporo"}}]})";

} // namespace

// The first entry is down: its connection is refused, so nothing was sent, and
// the next one may have the request, whatever it does.
BOOST_AUTO_TEST_CASE(the_next_entry_is_tried_when_nothing_was_sent)
{
    fake_entry entry;
    entry.on_post("/v1/services/report-svc/daily", 200, "whole answer",
                  "text/plain");
    auto const end =
        run_command({"call", "report-svc", "daily", "--contract", "kitakaze",
                     "--method", "POST", "--body", "{}", "--entry",
                     closed_address(), "--entry", entry.address()});
    BOOST_TEST(end.status == 0);
    BOOST_TEST(end.out == "whole answer\n");
    BOOST_REQUIRE(entry.asked().size() == 1U);
    BOOST_TEST(entry.asked()[0].get_header_value("X-Contract") == "kitakaze");
    BOOST_TEST(entry.asked()[0].has_header("traceparent"));
}

// The first entry takes a call that must not run twice and dies before it
// answers. Sent to the next entry, it would run twice.
BOOST_AUTO_TEST_CASE(a_call_that_may_have_run_is_not_sent_again)
{
    fake_entry next;
    next.on_post("/v1/services/report-svc/daily", 200, "second", "text/plain");
    silent_entry const first;
    auto const end = run_command({"call", "report-svc", "daily", "--contract",
                                  "kitakaze", "--method", "POST", "--entry",
                                  first.address(), "--entry", next.address()});
    BOOST_TEST(end.status == 4);
    BOOST_TEST(next.asked().empty());
}

BOOST_AUTO_TEST_CASE(a_call_that_may_be_repeated_goes_to_the_next_entry)
{
    fake_entry next;
    next.on_get("/v1/services/report-svc/on-now", 200, "{}");
    silent_entry const first;
    auto const end =
        run_command({"call", "report-svc", "on-now", "--contract", "kitakaze",
                     "--entry", first.address(), "--entry", next.address()});
    BOOST_TEST(end.status == 0);
}

BOOST_AUTO_TEST_CASE(nobody_reached_is_unavailable)
{
    for (auto const* it : {"status", "jobs"})
    {
        BOOST_TEST(run_command({it, "--entry", closed_address()}).status == 3);
    }
}

namespace
{

struct problem_case
{
    base::failure_code code;
    int status;
};

std::ostream& operator<<(std::ostream& out, problem_case const& it)
{
    return out << base::name_of(it.code);
}

std::array const s_problems{
    problem_case{base::failure_code::invalid, 2},
    problem_case{base::failure_code::not_found, 1},
    problem_case{base::failure_code::conflict, 1},
    problem_case{base::failure_code::refused, 1},
    problem_case{base::failure_code::unavailable, 3},
    problem_case{base::failure_code::outcome_unknown, 4},
};

} // namespace

BOOST_DATA_TEST_CASE(a_problem_becomes_its_exit_status, s_problems, it)
{
    auto const sent = api::problem_of({it.code, "the reason", 2});
    fake_entry entry;
    entry.on_get("/v1/jobs/j-1", sent.status, api::body_of(sent),
                 "application/problem+json");
    auto const end = run_command({"jobs", "j-1", "--entry", entry.address()});
    BOOST_TEST(end.status == it.status);
    BOOST_TEST(holds(end.err, "the reason"));
    BOOST_TEST(holds(end.err, "try again after 2 s"));
}

/// Guards against a job that is reported as not submitted, and runs: the first
/// entry took the request and gave no answer, the next one was not reached.
BOOST_AUTO_TEST_CASE(a_lost_answer_is_not_forgotten_for_an_entry_that_is_down)
{
    silent_entry const first;
    auto const end = run_command({"cancel", "j-1", "--entry", first.address(),
                                  "--entry", closed_address()});
    BOOST_TEST(end.status == 4, end.err);
    BOOST_TEST(!holds(end.err, "nothing was sent"), end.err);
}

/// The same where the next entry rejects the request.
BOOST_DATA_TEST_CASE(a_rejection_by_the_next_entry_leaves_the_first_open,
                     s_problems,
                     it)
{
    auto const path =
        std::filesystem::temp_directory_path() / "berylhill-repeated-job.json";
    std::ofstream{path} << R"({"contract": "kitakaze", "name": "n",
        "tasks": 1, "kind": "batch", "key": "k",
        "declared": {"millicores": 100, "memory_mb": 64}, "command": "true"})";
    auto const sent = api::problem_of({it.code, "the reason", 2});
    fake_entry next;
    next.on_post("/v1/jobs", sent.status, api::body_of(sent),
                 "application/problem+json");
    silent_entry const first;
    auto const end =
        run_command({"submit", path.string(), "--key", "k", "--entry",
                     first.address(), "--entry", next.address()});
    BOOST_TEST_REQUIRE(next.asked().size() == 1U, end.err);
    BOOST_TEST(end.status == 4, end.err);
}

BOOST_AUTO_TEST_CASE(an_apply_sends_the_difference_and_its_base)
{
    fake_entry entry;
    entry.on_get("/v1/contracts", 200, s_in_force);
    entry.on_post("/v1/contracts/apply", 200,
                  R"({"offset": 42, "in_force": ["e-1", "e-2"],
                      "missing": []})");
    auto const end =
        run_command({"contract", "apply", contract_directory(), "--operator",
                     "begona", "--entry", entry.address()});
    BOOST_TEST(end.status == 0, end.err);
    BOOST_TEST(end.out == "~ kitakaze\n"
                          "    /weight: 1.0 -> 2.0\n"
                          "- old\n"
                          "accepted as version 42, in force on e-1, e-2\n");
    BOOST_REQUIRE(entry.asked().size() == 2U);
    auto const sent =
        base::capture([&] { return model::parse_json(entry.asked()[1].body); });
    BOOST_REQUIRE(sent.has_value());
    BOOST_TEST(sent.value()["based_on"].asInt() == 41);
    BOOST_TEST(sent.value()["operator"].asString() == "begona");
    BOOST_TEST(sent.value()["contracts"].size() == 1U);
    BOOST_TEST(sent.value()["remove"][0].asString() == "old");
    BOOST_TEST(sent.value()["id"].asString().size() == 32U);
}

BOOST_AUTO_TEST_CASE(a_dry_run_changes_nothing)
{
    fake_entry entry;
    entry.on_get("/v1/contracts", 200, s_in_force);
    auto const end = run_command({"contract", "apply", contract_directory(),
                                  "--dry-run", "--entry", entry.address()});
    BOOST_TEST(end.status == 0);
    BOOST_TEST(entry.asked().size() == 1U);
}

// The change is accepted, but one live entry cannot read the log. The operator
// is told which one, and a script sees it in the exit status.
BOOST_AUTO_TEST_CASE(an_entry_without_the_change_is_named)
{
    fake_entry entry;
    entry.on_get("/v1/contracts", 200, s_in_force);
    entry.on_post("/v1/contracts/apply", 200,
                  R"({"offset": 42, "in_force": ["e-1"], "missing": ["e-2"]})");
    auto const end = run_command({"contract", "apply", contract_directory(),
                                  "--entry", entry.address()});
    BOOST_TEST(end.status == 3);
    BOOST_TEST(end.err == "not yet in force on e-2\n");
}

BOOST_AUTO_TEST_CASE(a_trace_is_shown_as_a_tree_from_all_entries)
{
    fake_entry one;
    fake_entry two;
    one.on_get("/v1/traces/t", 200,
               R"({"spans": [{"trace_id": "t", "span_id": "a",
                   "parent_id": "caller", "name": "admit", "instance": "e-1",
                   "start_us": 1000, "duration_us": 9000,
                   "attributes": {"contract": "kitakaze"}}]})");
    two.on_get("/v1/traces/t", 200,
               R"({"spans": [{"trace_id": "t", "span_id": "b",
                   "parent_id": "a", "name": "minion call", "instance": "e-2",
                   "start_us": 3000, "duration_us": 5000,
                   "attributes": {}}]})");
    auto const end = run_command(
        {"trace", "t", "--entry", one.address(), "--entry", two.address()});
    BOOST_TEST(end.status == 0);
    BOOST_TEST(end.out ==
               "admit  e-1  at 0.0 ms  took 9.0 ms  contract=kitakaze\n"
               "  minion call  e-2  at 2.0 ms  took 5.0 ms\n");
}

// A broken process reports spans that are each other's parent.
BOOST_AUTO_TEST_CASE(a_ring_of_spans_ends)
{
    fake_entry entry;
    entry.on_get("/v1/traces/t", 200,
                 R"({"spans": [
                     {"trace_id": "t", "span_id": "a", "parent_id": "b"},
                     {"trace_id": "t", "span_id": "b", "parent_id": "a"}]})");
    BOOST_TEST(run_command({"trace", "t", "--entry", entry.address()}).status ==
               0);
}

BOOST_AUTO_TEST_CASE(status_shows_units_and_unreachable_entries)
{
    fake_entry entry;
    entry.on_get("/v1/status", 200,
                 R"({"instance": "e-1", "zone": "sapporo-a", "side": "sapporo",
                     "incarnation": "i-1", "configuration_offset": 42,
                     "configuration_complete": false,
                     "peers": [{"instance": "e-2", "incarnation": "i-2"}],
                     "units": [
                       {"unit": "rack-1", "owner": "i-2", "epoch": 7,
                        "released": false},
                       {"unit": "rack-2", "owner": "i-1", "epoch": 8,
                        "released": true}],
                     "queues": {"calls-1": 3, "log_entries": 2}})");
    auto const down = closed_address();
    auto const end =
        run_command({"status", "--entry", entry.address(), "--entry", down});
    BOOST_TEST(end.status == 3);
    BOOST_TEST(holds(end.out, "rack-1  e-2    7"), end.out);
    BOOST_TEST(holds(end.out, "rack-2  -      8"), end.out);
    BOOST_TEST(holds(end.out, "42 (incomplete)"), end.out);
    BOOST_TEST(holds(end.out, down + "  unreachable"), end.out);
}

BOOST_AUTO_TEST_CASE(a_stop_is_followed_to_its_end)
{
    fake_entry entry;
    entry.on_post("/v1/stops", 202,
                  R"({"kind": "worker", "id": "w-1", "operator": "aiko",
                      "state": "announced", "work_left": 3})");
    entry.on_get("/v1/stops/worker/w-1", 200,
                 R"({"kind": "worker", "id": "w-1", "operator": "aiko",
                     "state": "done", "work_left": 0})");
    auto const end = run_command(
        {"stop", "worker", "w-1", "--wait", "--entry", entry.address()});
    BOOST_TEST(end.status == 0);
    BOOST_TEST(end.out == "worker w-1: announced, work left 3\n"
                          "worker w-1: done, work left 0\n");
}

namespace
{

struct end_case
{
    char const* state;
    int status;
};

std::ostream& operator<<(std::ostream& out, end_case const& it)
{
    return out << it.state;
}

std::array const s_ends{
    end_case{"succeeded", 0},
    end_case{"failed", 1},
    end_case{"cancelled", 1},
    end_case{"outcome_unknown", 4},
};

} // namespace

BOOST_DATA_TEST_CASE(a_followed_job_ends_with_its_outcome, s_ends, it)
{
    fake_entry entry;
    entry.on_post("/v1/jobs", 202, R"({"id": "j-1"})");
    entry.on_get("/v1/jobs/j-1", 200,
                 std::string{R"({"id": "j-1", "state": ")"} + it.state +
                     R"(", "tasks": 2, "tasks_done": 2, "tasks_failed": 0})");
    auto const path =
        std::filesystem::temp_directory_path() / "berylhill-job.json";
    std::ofstream{path} << R"({"contract": "kitakaze", "name": "daily",
        "declared": {"millicores": 500, "memory_mb": 256}})";
    auto const end = run_command({"submit", path.string(), "--key", "k",
                                  "--wait", "--entry", entry.address()});
    BOOST_TEST(end.status == it.status);
    BOOST_TEST(holds(end.out, "accepted as job j-1"));
    BOOST_TEST(holds(entry.asked()[0].body, R"("key":"k")"));
}

BOOST_AUTO_TEST_SUITE_END()
