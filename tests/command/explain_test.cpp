#include "command_run.hpp"

#include <command/time_line.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <ostream>
#include <unistd.h>

using namespace berylhill;

namespace
{

constexpr char const* job = "5c0e7a21d94b36f8";

struct explain_case
{
    char const* name;
    std::string log;
    std::string said;
};

std::ostream& operator<<(std::ostream& to, explain_case const& it)
{
    return to << it.name;
}

std::string line(int second, std::string const& rest)
{
    return "time=2026-05-01T10:00:0" + std::to_string(second) +
           ".000Z level=INFO instance=n event=" + rest + "\n";
}

explain_case const cases[] = {
    {"turned away while the store was down",
     line(1, "append_refused at=4 full=0") +
         line(2,
              std::string{"job_refused job="} + job +
                  " why=store_stuck stuck_s=0.9"),
     "refused, since the store had taken nothing for 0.9 s"},
    {"more than its account may have",
     line(1, std::string{"job_over_cap job="} + job + " account=team"),
     "needs more than account team may have running"},
    {"its records are rejected",
     line(1, "append_rejected at=4 status=400 records=1 bytes=9") +
         line(2,
              std::string{"job_held job="} + job + " phase=running stored=1"),
     "held: the store rejects its records"},
    {"its submission was rejected by the store",
     line(1, "append_rejected at=4 status=400 records=1 bytes=9") +
         line(2,
              std::string{"job_refused job="} + job +
                  " why=rejected stuck_s=0"),
     "the store rejected its records; it did not run"},
    {"waits for its account's cap",
     line(1, std::string{"job_taken job="} + job + " account=team") +
         line(2,
              std::string{"account_at_cap step="} + job +
                  ".0.0 account=team cpu_millis=9 cpu_millis_cap=9"),
     "account team has as much running as it may"},
    {"too large for the store",
     line(1,
          std::string{"job_too_large job="} + job +
              " bytes=300000 max_bytes=262144"),
     "its specification has 300000 bytes, and a record 262144"},
    {"a key that nobody has",
     line(1,
          std::string{"request_denied job="} + job +
              " status=401 key_digest=7 version=5 age_s=0.1"),
     "answered 401 by version 5"},
    {"rejected by the owner",
     line(1, std::string{"call_outdated job="} + job + " end=no_key") +
         line(2,
              std::string{"call_failed job="} + job +
                  " status=401 end=no_key by=owner sends=1 unresolved=0"),
     "answered 401 by the owner (no_key)"},
    {"the outcome is unknown",
     line(1,
          std::string{"call_failed job="} + job +
              " status=504 end=outcome_unknown by=entry sends=2 unresolved=1"),
     "answered 504; an earlier send may have had an effect"},
    {"no owner",
     line(1,
          std::string{"call_failed job="} + job +
              " status=503 end=refused by=entry sends=0 unresolved=0"),
     "No owner could be reached"},
    {"refused, and then taken from the client's next attempt",
     line(1,
          std::string{"job_refused job="} + job +
              " why=store_stuck stuck_s=0.9") +
         line(2, std::string{"job_taken job="} + job + " account=team") +
         line(3, std::string{"task_placed task="} + job + ".0.0.0 run=1"),
     "has begun and not ended"},
    {"rejected, and it ran",
     line(1, std::string{"job_taken job="} + job + " account=team") +
         line(2,
              std::string{"call_failed job="} + job +
                  " call=submit status=401 end=no_key by=owner sends=2 "
                  "unresolved=1") +
         line(3,
              std::string{"job_finished job="} + job +
                  " phase=completed took_s=2.0"),
     "answered 401"},
    {"a job of another account",
     line(1,
          std::string{"call_failed job="} + job +
              " call=submit status=403 end=forbidden by=owner sends=2 "
              "unresolved=1"),
     "answered 403 by the owner (forbidden)"},
    {"failed after a takeover",
     line(1, std::string{"job_taken job="} + job) +
         line(2, "claim_won token=9 records=4") +
         line(3,
              std::string{"attempt_ended task="} + job +
                  ".0.0.0 run=2 instance=i-1 reason=failed") +
         line(4,
              std::string{"job_finished job="} + job +
                  " phase=failed took_s=3"),
     "claim_won (a new owner) token=9"},
    {"given up for the instances lost under it",
     line(1, std::string{"job_taken job="} + job) +
         line(2,
              std::string{"task_given_up task="} + job +
                  ".0.0.0 run=3 instances_lost=3 at_its_start=3") +
         line(3,
              std::string{"job_finished job="} + job +
                  " phase=failed took_s=9"),
     "3 instances were lost under"},
    {"a gang that never started",
     line(1, std::string{"job_taken job="} + job) +
         line(2,
              std::string{"advice_read step="} + job +
                  ".0.0 asked=48 allowed=3"),
     "no instance with leave has had room"},
};

} // namespace

BOOST_AUTO_TEST_SUITE(explain)

BOOST_DATA_TEST_CASE(the_cause_is_told, boost::unit_test::data::make(cases))
{
    auto const path = std::filesystem::temp_directory_path() /
                      ("berylhill-explain-" + std::to_string(::getpid()));
    std::ofstream{path} << line(0, "other job=1") << sample.log;
    auto const end = tests::run_command({"explain", job, path.string()});
    BOOST_TEST(end.status == 0);
    BOOST_TEST(end.out.find(sample.said) != std::string::npos, end.out);
    BOOST_TEST(end.out.find("event=other") == std::string::npos);
    std::filesystem::remove(path);
}

BOOST_AUTO_TEST_CASE(a_job_that_no_line_names_is_said_so)
{
    BOOST_TEST(tests::run_command({"explain", job, "/dev/null"}).status != 0);
}

BOOST_AUTO_TEST_CASE(quoted_values_are_read_whole)
{
    auto const it = command::parse_log_line(
        R"(  4.1 n time=t level=INFO instance="a b" event=e key="x \"y\"" n=1)");
    BOOST_REQUIRE(it.has_value());
    BOOST_TEST(it->instance == "a b");
    BOOST_TEST(it->value_of("key") == R"(x "y")");
    BOOST_TEST(it->value_of("n") == "1");
    BOOST_TEST(!command::parse_log_line("nothing").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
