#include <cell/hold_schedule.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace berylhill;
using std::chrono::milliseconds;

namespace
{

/// An instance whose report was read at 0 s.
struct turn_case
{
    char const* name;
    /// The batch that holds its ended attempts; 0: it reported none.
    std::uint64_t batch;
    /// How many batches are stored when the next request is checked.
    std::uint64_t stored;
    /// From the report until then.
    std::chrono::milliseconds after;
    bool due;
};

std::ostream& operator<<(std::ostream& to, turn_case const& it)
{
    return to << it.name;
}

turn_case const cases[] = {
    {"nothing ended", 0, 4, milliseconds{0}, true},
    {"its ends are stored", 5, 5, milliseconds{0}, true},
    {"its ends are being stored", 5, 4, milliseconds{0}, false},
    {"its ends are being stored by a slow store", 5, 4, milliseconds{999},
     false},
    {"the store is away", 5, 4, milliseconds{1'000}, true},
    {"a later batch is stored", 5, 6, milliseconds{0}, true},
};

} // namespace

BOOST_AUTO_TEST_SUITE(hold_schedule)

/// Guards against repeated requests, which are billed, for the same ended
/// attempts: an instance reports them until it is told that they are stored.
/// And against leases that expire under sound work because a store is away.
BOOST_DATA_TEST_CASE(request_waits_until_ended_attempts_are_stored,
                     boost::unit_test::data::make(cases))
{
    cell::hold_schedule it;
    it.request_sent();
    BOOST_TEST(!it.due(base::instant{std::chrono::seconds{9}}, sample.batch));
    it.reported(base::instant{}, sample.batch);
    BOOST_TEST(it.due(base::instant{sample.after}, sample.stored) ==
               sample.due);
}

BOOST_AUTO_TEST_CASE(failed_request_is_retried_after_a_pause)
{
    cell::hold_schedule it;
    it.request_sent();
    it.failed(base::instant{});
    BOOST_TEST(!it.due(base::instant{std::chrono::milliseconds{199}}, 0));
    BOOST_TEST(it.due(base::instant{std::chrono::milliseconds{200}}, 0));
}

BOOST_AUTO_TEST_SUITE_END()
