#include <tests/command/command_run.hpp>

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <set>

using namespace berylhill;

BOOST_AUTO_TEST_SUITE(documents)

namespace
{

std::string const s_root = BERYLHILL_SOURCE_DIR;

std::string text_of(std::filesystem::path const& path)
{
    std::ifstream in{path};
    return {std::istreambuf_iterator<char>{in}, {}};
}

std::set<std::string> matches_in(std::string const& text,
                                 std::regex const& pattern)
{
    std::set<std::string> out;
    for (auto it = std::sregex_iterator{text.begin(), text.end(), pattern};
         it != std::sregex_iterator{}; ++it)
    {
        out.insert((*it)[1].str());
    }
    return out;
}

/// All sources of the product in one text.
std::string sources()
{
    std::string all;
    for (auto const& it :
         std::filesystem::recursive_directory_iterator{s_root + "/libraries"})
    {
        if (it.path().extension() == ".cpp")
        {
            all += text_of(it.path());
        }
    }
    return all;
}

} // namespace

// An alarm on an event that no code writes any more never rings.
BOOST_AUTO_TEST_CASE(every_event_and_metric_of_the_operators_page_exists)
{
    auto const page = text_of(s_root + "/docs/OPERATIONS.md");
    auto const alarms = page.substr(page.find("## Alarms"));
    auto names = matches_in(alarms, std::regex{R"(\| (`[a-z_`, ]+`) \|)"});
    auto const code = sources();
    std::set<std::string> all;
    for (auto const& it : names)
    {
        all.merge(matches_in(it, std::regex{R"(`([a-z_]+)`)"}));
    }
    all.merge(matches_in(alarms, std::regex{R"(`(berylhill_[a-z_]+)`)"}));
    BOOST_TEST(all.size() >= 10U);
    for (auto const& it : all)
    {
        BOOST_TEST(code.find('"' + it + '"') != std::string::npos, it);
    }
}

// Every command on the page is one that exists, with options that it has.
BOOST_AUTO_TEST_CASE(every_command_of_the_operators_page_is_understood)
{
    auto const page = text_of(s_root + "/docs/OPERATIONS.md");
    auto const lines =
        matches_in(page, std::regex{R"(\n    berylhill ([^\n]+))"});
    BOOST_TEST(lines.size() >= 15U);
    for (auto const& line : lines)
    {
        std::istringstream words{line};
        std::vector<std::string> arguments{
            std::istream_iterator<std::string>{words}, {}};
        arguments.emplace_back("--help");
        BOOST_TEST(tests::run_command(arguments).status == 0, line);
    }
}

BOOST_AUTO_TEST_SUITE_END()
