#include <scheduler/start_sends.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <vector>

using namespace berylhill;

namespace
{

struct sends_case
{
    char const* name;
    std::uint32_t sent;
    std::vector<std::uint32_t> answered;
    std::vector<std::uint32_t> timed_out;
    std::uint32_t awaited;
    std::uint32_t unanswered;
};

std::ostream& operator<<(std::ostream& to, sends_case const& it)
{
    return to << it.name;
}

sends_case const cases[] = {
    {"nothing was sent", 0, {}, {}, 0, 0},
    {"one order is under way", 1, {}, {}, 1, 0},
    {"its answer came", 1, {1}, {}, 0, 0},
    {"the second was answered first", 2, {2}, {}, 1, 0},
    {"the first was not answered", 2, {}, {1}, 1, 1},
    {"one of each", 3, {2}, {1}, 1, 1},
    {"an answer after the wait has ended", 1, {1}, {1}, 0, 1},
    {"an answer to an order of another attempt", 1, {7}, {8}, 1, 0},
};

} // namespace

BOOST_AUTO_TEST_SUITE(sends)

BOOST_DATA_TEST_CASE(orders_without_an_answer_are_counted,
                     boost::unit_test::data::make(cases))
{
    scheduler::start_sends it;
    for (std::uint32_t n = 1; n <= sample.sent; ++n)
    {
        BOOST_TEST(it.add() == n);
    }
    for (auto const n : sample.timed_out)
    {
        it.timed_out(n);
    }
    for (auto const n : sample.answered)
    {
        it.answered(n);
    }
    BOOST_TEST(it.sent() == sample.sent);
    BOOST_TEST(it.awaited() == sample.awaited);
    BOOST_TEST(it.unanswered() == sample.unanswered);
}

BOOST_AUTO_TEST_SUITE_END()
