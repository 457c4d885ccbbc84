#include <base/line_buffer.hpp>

#include <boost/test/unit_test.hpp>

#include <string>

using namespace berylhill;

BOOST_AUTO_TEST_SUITE(line_buffer)

BOOST_AUTO_TEST_CASE(lines_come_out_whole_and_in_order)
{
    base::line_buffer it{1'000};
    it.push("one\n");
    it.push("two\n");
    BOOST_TEST(it.front(100) == "one\ntwo\n");
    it.pop(2);
    BOOST_TEST(it.front(100) == "e\ntwo\n");
    it.pop(6);
    BOOST_TEST(it.empty());
    BOOST_TEST(it.counts().lines == 2U);
    BOOST_TEST(it.counts().dropped == 0U);
}

/// A process grows until it is ended for its memory. Whoever reads its log has
/// stopped, and all lines are kept for them.
BOOST_AUTO_TEST_CASE(without_a_reader_it_keeps_no_more_than_its_bound)
{
    constexpr std::size_t bound = 1'000;
    base::line_buffer it{bound};
    std::string const line(99, 'x');
    for (int n = 0; n < 10'000; ++n)
    {
        it.push(line + "\n");
    }
    BOOST_TEST(it.front(1'000'000).size() <= bound);
    BOOST_TEST(it.counts().dropped >= 9'900U);
    // Once there is room, a line says how many were left out.
    while (!it.empty())
    {
        it.pop(it.front(100).size());
    }
    it.push("next\n");
    BOOST_TEST(it.front(1'000).find("log_dropped") != std::string::npos);
    BOOST_TEST(it.front(1'000).find("next") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
