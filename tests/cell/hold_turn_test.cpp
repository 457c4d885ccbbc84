#include <cell/hold_turn.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace berylhill;

namespace
{

/// An instance whose report was read at 0 s.
struct turn_case
{
    char const* name;
    /// The batch that its ends are in; 0: it named none.
    std::uint64_t batch;
    /// How many batches are stored when it is asked whether a question is due.
    std::uint64_t stored;
    bool due;
};

std::ostream& operator<<(std::ostream& to, turn_case const& it)
{
    return to << it.name;
}

turn_case const cases[] = {
    {"nothing ended", 0, 4, true},
    {"its ends are stored", 5, 5, true},
    {"its ends are being stored", 5, 4, false},
    {"a later batch is stored", 5, 6, true},
};

} // namespace

BOOST_AUTO_TEST_SUITE(hold_turn)

/// An instance is asked for the same ends again and again, and each question is
/// paid for: it names them until it is told that they are stored.
BOOST_DATA_TEST_CASE(a_question_waits_until_ends_are_stored,
                     boost::unit_test::data::make(cases))
{
    cell::hold_turn it;
    it.asked();
    BOOST_TEST(!it.due(base::instant{std::chrono::seconds{9}}, sample.batch));
    it.reported(base::instant{}, sample.batch);
    BOOST_TEST(it.due(base::instant{}, sample.stored) == sample.due);
}

BOOST_AUTO_TEST_CASE(a_silent_instance_is_left_alone_for_a_moment)
{
    cell::hold_turn it;
    it.asked();
    it.failed(base::instant{});
    BOOST_TEST(!it.due(base::instant{std::chrono::milliseconds{199}}, 0));
    BOOST_TEST(it.due(base::instant{std::chrono::milliseconds{200}}, 0));
}

BOOST_AUTO_TEST_SUITE_END()
