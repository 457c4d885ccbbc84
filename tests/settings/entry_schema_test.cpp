#include <settings/entry_schema.hpp>
#include <settings/file.hpp>
#include <settings/reference.hpp>

#include <model/json.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>

using namespace berylhill;

BOOST_AUTO_TEST_SUITE(entry_schema)

namespace
{

char const* const s_least = R"({
  "instance": "entry-1", "zone": "sapporo-a", "side": "sapporo",
  "listen": {"http": "127.0.0.1:8080", "peer": "127.0.0.1:9080"},
  "platform": {"log": "127.0.0.1:7001", "list": "127.0.0.1:7002"}
})";

std::string findings_in(std::string const& text)
{
    base::findings found;
    (void)settings::read_entry_settings("s.json", text, found);
    return found.text();
}

} // namespace

BOOST_AUTO_TEST_CASE(the_least_file_has_all_defaults)
{
    base::findings found;
    auto const it = settings::read_entry_settings("s.json", s_least, found);
    BOOST_TEST(found.text() == "");
    BOOST_TEST(it.instance == "entry-1");
    BOOST_TEST(it.listen.peer == "127.0.0.1:9080");
    BOOST_CHECK(it.limits == settings::limit_settings{});
    BOOST_CHECK(it.ownership == settings::ownership_settings{});
}

BOOST_AUTO_TEST_CASE(what_is_written_is_read_back_equal)
{
    base::findings found;
    auto it = settings::read_entry_settings("s.json", s_least, found);
    it.sides["other"] = {"10.0.0.1:80"};
    it.log.level = base::log_level::debug;
    it.limits.body_bytes = 4'096;
    auto const text = model::text_of(settings::entry_schema().write(it));
    auto const back = settings::read_entry_settings("s.json", text, found);
    BOOST_TEST(found.text() == "");
    BOOST_CHECK(back == it);
}

BOOST_AUTO_TEST_CASE(five_mistakes_are_reported_together_with_their_places)
{
    auto const text = R"({
  "instance": "Entry 1",
  "zome": "sapporo-a",
  "side": "sapporo",
  "listen": {"http": "localhost:8080", "peer": "127.0.0.1:9080"},
  "platform": {"log": "127.0.0.1:7001", "list": "127.0.0.1:7002"},
  "limits": {
    "body_bytes": "1M",
    "http_threads": 0
  }
})";
    BOOST_TEST(
        findings_in(text) ==
        "s.json:1: member zone is missing: Its availability zone.\n"
        "s.json:2: /instance: \"Entry 1\" is not a valid identifier (a-z, "
        "0-9, - and .)\n"
        "s.json:3: /zome: unknown member; did you mean zone?\n"
        "s.json:5: /listen/http: \"localhost:8080\" is not a valid address "
        "IP:port\n"
        "s.json:8: /limits/body_bytes: expected integer from 1024 to "
        "1073741824, found a string\n"
        "s.json:9: /limits/http_threads: 0 is not an integer from 2 to 1024\n");
}

namespace
{

struct wrong_case
{
    char const* from;
    char const* to;
    char const* says;
};

std::ostream& operator<<(std::ostream& out, wrong_case const& it)
{
    return out << it.to;
}

/// Each changes one place of the least file.
std::array const s_wrong{
    wrong_case{"\"zone\"", "\"side\"", "s.json:2: column"},
    wrong_case{"\"entry-1\",", "\"entry-1\"", "s.json:2: column"},
    wrong_case{"\"entry-1\"", "// no\n\"entry-1\"", "not JSON"},
    wrong_case{"9080", "8080", "/listen/peer: the same address as http"},
    wrong_case{"9080", "0", "/listen/peer: \"127.0.0.1:0\""},
    wrong_case{"9080", "65536", "/listen/peer"},
    wrong_case{"127.0.0.1:9080", "[::1]:9080:1", "/listen/peer"},
    wrong_case{"127.0.0.1:9080", "127.0.0:9080", "/listen/peer"},
    wrong_case{"\n}", ",\"workers\": {\"lease_s\": 2}}",
               "/workers: lease_s is below three heartbeats"},
    wrong_case{"\n}", ",\"ownership\": {\"suspect_s\": 0.6}}",
               "/ownership: suspect_s is below two heartbeats"},
    wrong_case{"\n}", ",\"sides\": {\"sapporo\": [\"10.0.0.1:80\"]}}",
               "/sides/sapporo: this instance's own side"},
    wrong_case{"\n}", ",\"sides\": {\"x/y\": [\"10.0.0.1:80\", 7]}}",
               "/sides/x~1y/1: expected address IP:port, found a number"},
    wrong_case{"\n}", ",\"log\": {\"level\": \"inof\"}}",
               "/log/level: \"inof\" is not debug or info or warning or error; "
               "did you mean info?"},
    wrong_case{"\n}", ",\"traces\": {\"spans\": 1.5}}",
               "/traces/spans: expected integer from 0 to 1000000, found a "
               "number"},
    wrong_case{"\n}", ",\"traces\": []}",
               "/traces: expected object, found a list"},
};

std::string least_with(wrong_case const& it)
{
    std::string text = s_least;
    auto const at = text.find(it.from);
    return at == std::string::npos
               ? text
               : text.replace(at, std::string{it.from}.size(), it.to);
}

} // namespace

BOOST_DATA_TEST_CASE(a_mistake_is_named, s_wrong, it)
{
    BOOST_TEST(findings_in(least_with(it)).find(it.says) != std::string::npos,
               findings_in(least_with(it)));
}

BOOST_AUTO_TEST_CASE(a_key_that_stands_twice_hides_no_other_mistake)
{
    std::string text = s_least;
    text.insert(1, "\"instance\": \"entry-2\", \"zone2\": 1,");
    auto const found = findings_in(text);
    BOOST_TEST(found.find("Duplicate key") != std::string::npos);
    BOOST_TEST(found.find("/zone2: unknown member") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(hostile_nesting_is_a_finding)
{
    BOOST_TEST(findings_in(std::string(100'000, '[')) ==
               "s.json:1: column 1: not JSON: nested too deeply\n");
}

BOOST_AUTO_TEST_CASE(a_missing_file_is_a_finding)
{
    base::findings found;
    (void)settings::load_entry_settings("/nowhere/s.json", found);
    BOOST_TEST(found.text() == "/nowhere/s.json: cannot be read as a file\n");
}

// docs/SETTINGS.md is written by `berylhill check --defaults --markdown`; a
// change of the schema without it would leave people with an old page.
BOOST_AUTO_TEST_CASE(the_page_holds_the_reference)
{
    auto const page = base::capture(
        [] {
            return settings::read_file(BERYLHILL_SOURCE_DIR
                                       "/docs/SETTINGS.md");
        });
    BOOST_REQUIRE(page.has_value());
    BOOST_TEST(page.value().ends_with(settings::markdown_reference()));
}

BOOST_AUTO_TEST_SUITE_END()
