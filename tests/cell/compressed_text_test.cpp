#include <cell/compressed_text.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>

using namespace berylhill;

namespace
{

constexpr std::size_t most = 300'000;

struct text_case
{
    char const* name;
    std::string text;
};

std::ostream& operator<<(std::ostream& to, text_case const& it)
{
    return to << it.name;
}

std::string queues(std::size_t n)
{
    std::string out;
    for (std::size_t it = 0; it < n; ++it)
    {
        out += R"({"name":"r-)" + std::to_string(it * 7'919) +
               R"(","hostname":"h","timeoutMs":3000,"priority":2},)";
    }
    return out;
}

text_case const text_cases[] = {
    {"empty", ""},
    {"a letter", "x"},
    {"queues", queues(1'400)},
    {"the size limit", std::string(most, 'x')},
};

bool decompresses(std::string_view it, std::size_t limit)
{
    return base::capture([&] { return cell::decompressed(it, limit); })
        .has_value();
}

} // namespace

BOOST_AUTO_TEST_SUITE(compressed_text)

BOOST_DATA_TEST_CASE(text_survives_a_round_trip,
                     boost::unit_test::data::make(text_cases))
{
    auto const out = base::capture(
        [&]
        { return cell::decompressed(cell::compressed(sample.text), most); });
    BOOST_REQUIRE(out.has_value());
    BOOST_TEST(out.value() == sample.text);
}

BOOST_AUTO_TEST_CASE(truncated_or_too_large_text_is_refused)
{
    auto const it = cell::compressed(queues(1'400));
    BOOST_TEST(it.size() < queues(1'400).size() / 4);
    BOOST_TEST(
        !decompresses(std::string_view{it}.substr(0, it.size() / 2), most));
    BOOST_TEST(!decompresses("no compressed text", most));
    BOOST_TEST(
        !decompresses(cell::compressed(std::string(most + 1, 'x')), most));
}

BOOST_AUTO_TEST_SUITE_END()
