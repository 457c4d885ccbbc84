#include <cell/byte_budget.hpp>
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

/// Guards against calls that are delayed behind copies of the configuration
/// when hundreds of processes fetch it from one process.
BOOST_AUTO_TEST_CASE(copies_are_limited_to_their_share_of_the_link)
{
    constexpr std::size_t copy = 40'000;
    cell::byte_budget it{1'000'000, 64'000};
    base::instant now{std::chrono::seconds{100}};
    std::size_t sent = 0;
    for (int n = 0; n < 1'000; ++n)
    {
        sent += it.try_take(copy, now) ? copy : 0;
        now += std::chrono::milliseconds{1};
    }
    BOOST_TEST(sent <= 1'000'000U + 64'000U + copy);
    BOOST_TEST(sent >= 900'000U);
}

BOOST_AUTO_TEST_SUITE_END()
