#include <cell/write_times.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <cstdint>
#include <optional>
#include <ostream>
#include <vector>

using namespace berylhill;

namespace
{

struct seen_end
{
    std::uint64_t end;
    int at_s;
};

struct write_case
{
    char const* story;
    std::vector<seen_end> ends;
    std::uint64_t offset;
    /// Empty if the record may be of any age.
    std::optional<int> written_after_s;
};

std::ostream& operator<<(std::ostream& to, write_case const& it)
{
    return to << it.story;
}

write_case const cases[] = {
    {"nothing was read", {}, 7, std::nullopt},
    {"it was there at the first read", {{10, 1}}, 9, std::nullopt},
    {"it came after the first read", {{10, 1}}, 10, 1},
    {"it came between two reads", {{10, 1}, {20, 2}}, 19, 1},
    {"it came after the last read", {{10, 1}, {20, 2}}, 20, 2},
    {"nothing was written for a while", {{10, 1}, {10, 5}}, 10, 5},
    {"it came before that while", {{8, 1}, {10, 2}, {10, 5}}, 9, 1},
    {"an answer was overtaken", {{20, 2}, {10, 1}}, 15, std::nullopt},
};

base::instant at_s(int it)
{
    return base::instant{std::chrono::seconds{it}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(write_times)

/// Guards against taking a record for newer than it may be: the first read
/// after a silence returns records of before.
BOOST_DATA_TEST_CASE(a_record_is_as_old_as_it_may_be,
                     boost::unit_test::data::make(cases))
{
    cell::write_times it;
    for (auto const& each : sample.ends)
    {
        it.log_ended(each.end, at_s(each.at_s));
    }
    auto const seen = it.written_after(sample.offset);
    BOOST_REQUIRE(seen.has_value() == sample.written_after_s.has_value());
    if (seen)
    {
        BOOST_TEST((*seen == at_s(*sample.written_after_s)));
    }
}

BOOST_AUTO_TEST_SUITE_END()
