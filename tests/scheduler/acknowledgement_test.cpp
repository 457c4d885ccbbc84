#include "scheduler_fixture.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <utility>

using namespace berylhill;
using namespace berylhill::scheduler_test;
using scheduler::end_reason;
using scheduler::job_phase;

namespace
{

std::string const former{"a@1000"};
std::string const later{"a@9000"};
constexpr std::int64_t later_birth = 9'000;

/// The connections to the two lives.
constexpr std::uint64_t to_former = 7;
constexpr std::uint64_t to_later = 8;

/// What has become of the connection that the end was reported over.
enum class connection_state : std::uint8_t
{
    open,
    lost,
    lost_and_replaced,
    not_kept,
    acknowledged_over,
};

struct request_case
{
    char const* name;
    connection_state state;
    std::uint64_t seen_end;
    std::uint64_t connection;
};

std::ostream& operator<<(std::ostream& to, request_case const& it)
{
    return to << it.name;
}

request_case const requests[] = {
    {"the connection is open", connection_state::open, 1, to_former},
    {"it was lost", connection_state::lost, 0, 0},
    {"it was lost, and the same life reported over another one",
     connection_state::lost_and_replaced, 1, to_later},
    {"the instance closes it after each report", connection_state::not_kept, 1,
     0},
    {"the end is acknowledged", connection_state::acknowledged_over, 0, 0},
};

/// An instance whose first task has ended.
class acknowledgement_fixture : public scheduler_fixture
{
public:
    acknowledgement_fixture()
    {
        list(former);
        report_over(to_former, {});
        decisions.submit(job(1, 1), 0, now);
        auto const start = starts().at(0);
        confirm(start);
        advance(std::chrono::milliseconds{100});
        report_over(to_former, {{1, start.attempt, end_reason::done, {}}});
    }

    void report_over(std::uint64_t connection,
                     std::vector<scheduler::ended_attempt_report> ended,
                     std::uint64_t acknowledged = 0)
    {
        decisions.hold_answered({former,
                                 now,
                                 now,
                                 clock_ms(),
                                 {},
                                 std::move(ended),
                                 0,
                                 connection,
                                 acknowledged});
    }

    void lose_connection()
    {
        decisions.hold_not_sent(former, now);
    }

    void pass(connection_state it)
    {
        switch (it)
        {
        case connection_state::open:
            return;
        case connection_state::lost:
            lose_connection();
            return;
        case connection_state::lost_and_replaced:
            lose_connection();
            report_over(to_later, {});
            return;
        case connection_state::not_kept:
            report_over(0, {});
            return;
        case connection_state::acknowledged_over:
            report_over(to_former, {}, 1);
            return;
        }
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(acknowledgement)

/// Guards against an end that a later life of an instance forgets, unread, by
/// the number of an end of the former life.
BOOST_DATA_TEST_CASE(ends_are_acknowledged_to_the_life_that_reported_them,
                     boost::unit_test::data::make(requests))
{
    acknowledgement_fixture it;
    BOOST_TEST(it.store().empty());
    it.pass(sample.state);
    auto const order = it.decisions.next_hold(former, it.now);
    BOOST_TEST(order.seen_end == sample.seen_end);
    BOOST_TEST(order.connection == sample.connection);
}

/// Guards against a second run of a task that a later life has ended before its
/// first report, while the end of another one was being stored.
BOOST_AUTO_TEST_CASE(end_of_a_later_life_is_read_before_it_is_acknowledged)
{
    acknowledgement_fixture it;
    it.decisions.submit(scheduler_fixture::job(2, 1), 0, it.now);
    auto const second = it.starts().at(0);
    it.confirm(second);
    it.advance(std::chrono::milliseconds{300});
    BOOST_TEST(it.decisions.next_hold(former, it.now).connection == to_former);
    it.lose_connection();
    BOOST_TEST(it.decisions.next_hold(former, it.now).seen_end == 0U);
    constexpr std::int64_t young = 5;
    it.decisions.hold_answered({former,
                                it.now,
                                it.now,
                                young,
                                {},
                                {{1, second.attempt, end_reason::done, {}}},
                                later_birth,
                                to_later});
    BOOST_TEST(it.starts().empty());
    BOOST_TEST((it.decisions.phase_of({2}) == job_phase::completed));
    auto const order = it.decisions.next_hold(later, it.now);
    BOOST_TEST(order.seen_end == 1U);
    BOOST_TEST(order.connection == to_later);
}

/// Guards against an instance that is not asked any more, so that its leases
/// expire: a lost answer had left ends that no further batch contains.
BOOST_AUTO_TEST_CASE(stored_ends_need_no_further_batch)
{
    acknowledgement_fixture it;
    BOOST_TEST((it.decisions.ends_of(former) ==
                scheduler::reported_ends::in_next_batch));
    static_cast<void>(it.decisions.take_batch(it.now));
    BOOST_TEST((it.decisions.ends_of(former) ==
                scheduler::reported_ends::in_batch_in_flight));
    it.decisions.batch_stored(it.now);
    BOOST_TEST(
        (it.decisions.ends_of(former) == scheduler::reported_ends::stored));
}

BOOST_AUTO_TEST_SUITE_END()
