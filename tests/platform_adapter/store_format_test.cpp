#include <platform/store_format.hpp>
#include <platform/url.hpp>

#include <boost/test/unit_test.hpp>

#include <string>

using namespace berylhill;

namespace
{

std::string number(std::uint64_t it)
{
    std::string out(8, '\0');
    out[7] = static_cast<char>(it);
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(store_format)

BOOST_AUTO_TEST_CASE(records_come_back_with_their_offsets)
{
    auto const bytes = platform::encode_records({{"key", "value"}, {"k", {}}});
    BOOST_TEST(bytes ==
               std::string("\0\0\0\x09\x03keyvalue\0\0\0\x02\x01k", 19));
    auto const read =
        platform::decode_records(number(12) + number(0) + bytes, 10);
    BOOST_TEST((read.outcome == cell::read_outcome::read));
    BOOST_TEST(read.log_end == 12U);
    BOOST_REQUIRE(read.entries.size() == 2U);
    BOOST_TEST((read.entries[0] == cell::log_entry{10, "key", "value"}));
    BOOST_TEST((read.entries[1] == cell::log_entry{11, "k", {}}));
}

BOOST_AUTO_TEST_CASE(cut_answers_are_read_as_far_as_they_go)
{
    auto const bytes = platform::encode_records({{"key", "value"}});
    auto const whole = number(1) + number(0) + bytes;
    for (std::size_t n = 0; n < whole.size(); ++n)
    {
        auto const read = platform::decode_records(whole.substr(0, n), 0);
        BOOST_TEST(read.entries.empty());
        BOOST_TEST((read.outcome == (n < 16 ? cell::read_outcome::failed
                                            : cell::read_outcome::read)));
    }
}

/// A process ends on one record of another writer, whose key is said to be
/// longer than the record.
BOOST_AUTO_TEST_CASE(a_key_ends_with_its_record)
{
    for (std::size_t n = 0; n < 4; ++n)
    {
        auto const record = "\x09" + std::string(n, 'k');
        auto answer = number(2);
        answer += number(0);
        answer.append(3, '\0');
        answer += static_cast<char>(record.size());
        answer += record;
        auto const read = platform::decode_records(answer, 1);
        BOOST_REQUIRE(read.entries.size() == 1U);
        BOOST_TEST(
            (read.entries[0] == cell::log_entry{1, std::string(n, 'k'), {}}));
    }
}

BOOST_AUTO_TEST_CASE(newest_records_are_decoded)
{
    auto const read = platform::decode_newest(
        R"({"items":[{"key":"a","value":"dmFsdWU=","offset":4},
            {"key":"b","value":"eA==","offset":5}],
            "truncated":true,"end":6})");
    BOOST_TEST(read.answered);
    BOOST_TEST(read.truncated);
    BOOST_TEST(read.log_end == 6U);
    BOOST_REQUIRE(read.entries.size() == 2U);
    BOOST_TEST(read.entries[0].value == "value");
    BOOST_TEST(read.entries[1].value == "x");
    BOOST_TEST(!platform::decode_newest("{").answered);
}

BOOST_AUTO_TEST_CASE(keys_are_encoded_for_a_query)
{
    BOOST_TEST(platform::url_encoded("s:0a/b c") == "s%3A0a%2Fb%20c");
}

BOOST_AUTO_TEST_SUITE_END()
