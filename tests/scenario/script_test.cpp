#include <scenario/script.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <fstream>
#include <sstream>

using namespace berylhill;

BOOST_AUTO_TEST_SUITE(script)

BOOST_AUTO_TEST_CASE(lines_become_statements)
{
    base::findings found;
    auto const it = scenario::read_script("s", R"(
# A comment, and an empty line.

entries 3   # three of them
workers 4 cores 32 memory 131072 racks 2 zone sapporo-a
wait 200ms
log lose 20% after
)",
                                          found);
    BOOST_TEST(found.text() == "");
    BOOST_REQUIRE(it.statements.size() == 4U);
    BOOST_TEST(it.statements[0].count("count") == 3);
    BOOST_TEST(it.statements[1].word("zone") == "sapporo-a");
    BOOST_TEST(it.statements[2].number("time") == 0.2);
    BOOST_TEST(it.statements[2].line == 6U);
    BOOST_TEST(it.statements[3].number("share") == 20.0);
}

BOOST_AUTO_TEST_CASE(all_mistakes_are_told_together)
{
    base::findings found;
    auto const it = scenario::read_script("s", R"(entries three
kil entry 1
wait 5
  log slwo 200ms
entries 2 now
list
kill entry 4
)",
                                          found);
    BOOST_TEST(it.statements.size() == 1U);
    BOOST_TEST(found.text() == R"(s: no line says how many entries there are
s:1: column 9: 'three' is not a number
s:2: column 1: 'kil' is no statement; kill?
s:3: column 6: '5' is not a time such as 5s or 200ms
s:4: column 7: 'slwo' is not down, up, slow, lose; slow?
s:5: column 11: 'now' is too much; the form is: entries <count:number>
s:6: column 5: the line ends where freeze, thaw should stand; the form is: list <fault:freeze|thaw>
s:7: column 12: there are 0 entries
)");
}

BOOST_AUTO_TEST_CASE(the_page_has_every_form)
{
    std::ifstream in{BERYLHILL_SOURCE "/docs/SCENARIOS.md"};
    std::stringstream page;
    page << in.rdbuf();
    BOOST_TEST(page.str().find("\n" + scenario::describe_language()) !=
               std::string::npos);
}

namespace
{

struct token_case
{
    char const* text;
    scenario::token_kind kind;
    double value;
};

std::ostream& operator<<(std::ostream& out, token_case const& it)
{
    return out << it.text;
}

using scenario::token_kind;

std::array const s_tokens{
    token_case{"12", token_kind::number, 12},
    token_case{"1.5", token_kind::number, 1.5},
    token_case{"5s", token_kind::duration, 5},
    token_case{"250ms", token_kind::duration, 0.25},
    token_case{"2m", token_kind::duration, 120},
    token_case{"20%", token_kind::percent, 20},
    token_case{"w-3", token_kind::word, 0},
    token_case{"3rd", token_kind::word, 0},
    token_case{"samples/a.json", token_kind::word, 0},
};

} // namespace

BOOST_DATA_TEST_CASE(what_a_piece_of_a_line_is, s_tokens, it)
{
    auto const tokens = scenario::tokens_of("  " + std::string{it.text} + "#x");
    BOOST_REQUIRE(tokens.size() == 1U);
    BOOST_CHECK(tokens[0].kind == it.kind);
    BOOST_TEST(tokens[0].value == it.value);
    BOOST_TEST(tokens[0].column == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
