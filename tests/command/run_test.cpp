#include <tests/command/command_run.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <filesystem>
#include <fstream>

using namespace berylhill;
using tests::run_command;

BOOST_AUTO_TEST_SUITE(run)

namespace
{

std::string file_with(std::string const& name, std::string const& text)
{
    auto const path = std::filesystem::temp_directory_path() / name;
    std::ofstream{path} << text;
    return path.string();
}

bool holds(std::string const& text, std::string const& part)
{
    return text.find(part) != std::string::npos;
}

std::array const s_subcommands{"entry",  "check", "contract", "stop",
                               "submit", "jobs",  "cancel",   "call",
                               "status", "trace"};

} // namespace

BOOST_DATA_TEST_CASE(every_subcommand_has_help_and_an_example,
                     s_subcommands,
                     name)
{
    auto const end = run_command({name, "--help"});
    BOOST_TEST(end.status == 0);
    BOOST_TEST(holds(end.out, std::string{"Example:\n  berylhill "} + name));
    BOOST_TEST(holds(end.out, "--entry"));
    BOOST_TEST(!holds(end.out, "hidden"));
    BOOST_TEST(holds(run_command({"--help"}).out, name));
}

namespace
{

struct wrong_line
{
    std::vector<std::string> arguments;
    char const* says;
};

std::ostream& operator<<(std::ostream& out, wrong_line const& it)
{
    return out << it.says;
}

std::array const s_wrong{
    wrong_line{{}, "usage:"},
    wrong_line{{"sumbit"}, "did you mean submit?"},
    wrong_line{{"status", "--colour"}, "colour"},
    wrong_line{{"status", "extra"}, "1 arguments given"},
    wrong_line{{"status", "--entry", "localhost:80"}, "address IP:port"},
    wrong_line{{"status", "--timeout", "0"}, "--timeout"},
    wrong_line{{"entry"}, "--settings FILE is missing"},
    wrong_line{{"check"}, "nothing to check"},
    wrong_line{{"contract", "aply", "x"}, "expected apply DIR"},
    wrong_line{{"stop", "boat", "b-1"}, "none of instance, worker, minion"},
    wrong_line{{"call", "svc", "path"}, "--contract NAME is missing"},
    wrong_line{{"call", "s", "p", "--contract", "c", "--method", "PUT"},
               "expected GET or POST"},
    wrong_line{{"jobs", "--state", "asleep"}, "asleep"},
    wrong_line{{"trace"}, "0 arguments given"},
};

} // namespace

BOOST_DATA_TEST_CASE(a_wrong_command_line_is_bad_input, s_wrong, it)
{
    auto const end = run_command(it.arguments);
    BOOST_TEST(end.status == 2);
    BOOST_TEST(holds(end.err, it.says), end.err);
}

// An operator edits a settings file and makes five unlike mistakes. All five
// are named with file, line and place in one run, and nothing is started.
BOOST_AUTO_TEST_CASE(check_names_five_mistakes_with_their_places)
{
    auto const path = file_with("berylhill-check-five.json", R"({
  "instance": "entry-1",
  "zome": "sapporo-a",
  "zone": "sapporo-a",
  "side": "Sapporo",
  "listen": {"http": "localhost:8080", "peer": "127.0.0.1:9080"},
  "platform": {"log": "127.0.0.1:7001", "list": "127.0.0.1:7002"},
  "limits": {"body_bytes": "1M"},
  "workers": {"heartbeat_s": 1, "lease_s": 2}
})");
    auto const end = run_command({"check", "--settings", path});
    BOOST_TEST(end.status == 2);
    BOOST_TEST(end.out ==
               path + ":3: /zome: unknown member; did you mean zone?\n" + path +
                   ":5: /side: \"Sapporo\" is not a valid identifier "
                   "(a-z, 0-9, - and .)\n" +
                   path +
                   ":6: /listen/http: \"localhost:8080\" is not a valid "
                   "address IP:port\n" +
                   path +
                   ":8: /limits/body_bytes: expected integer from 1024 "
                   "to 1073741824, found a string\n" +
                   path +
                   ":9: /workers: lease_s is below three heartbeats; "
                   "two lost ones would stop tasks\n");
    auto const json = run_command({"check", "--settings", path, "--json"});
    BOOST_TEST(json.status == 2);
    BOOST_TEST(holds(json.out, R"("line":3,"message":"unknown member)"));
    BOOST_TEST(run_command({"entry", "--settings", path}).status == 2);
}

BOOST_AUTO_TEST_CASE(check_shows_every_default)
{
    auto const text = run_command({"check", "--defaults"});
    BOOST_TEST(text.status == 0);
    BOOST_TEST(holds(text.out, "/limits/body_bytes"));
    BOOST_TEST(holds(text.out, "/urgent_quota/millicores"));
    BOOST_TEST(holds(run_command({"check", "--defaults", "--json"}).out,
                     R"("member":"/limits/body_bytes")"));
    BOOST_TEST(holds(run_command({"check", "--defaults", "--markdown"}).out,
                     "| `/limits/body_bytes` |"));
}

BOOST_AUTO_TEST_CASE(an_entry_runs_with_the_settings_of_its_file)
{
    auto const path = file_with("berylhill-entry.json", R"({
  "instance": "entry-7", "zone": "sapporo-a", "side": "sapporo",
  "listen": {"http": "127.0.0.1:8080", "peer": "127.0.0.1:9080"},
  "platform": {"log": "127.0.0.1:7001", "list": "127.0.0.1:7002"}})");
    std::ostringstream out;
    std::string started;
    auto const status =
        command::run({"entry", "--settings", path}, {out, out,
                                                     [&](auto const& it)
                                                     {
                                                         started = it.instance;
                                                         return 3;
                                                     }});
    BOOST_TEST(status == 3);
    BOOST_TEST(started == "entry-7");
}

BOOST_AUTO_TEST_SUITE_END()
