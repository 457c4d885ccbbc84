#include "fixtures.hpp"

#include <calls/connection_watch.hpp>

#include <boost/test/unit_test.hpp>

#include <map>

using namespace berylhill;
using namespace berylhill::calls::testing;
using calls::attempt_end;

BOOST_AUTO_TEST_SUITE(connection_watch)

namespace
{

using ends = std::map<std::string, attempt_end>;

ends ended(std::vector<calls::connection_action> const& actions)
{
    ends found;
    for (auto const& it : actions)
    {
        if (auto const* end = std::get_if<calls::request_ended>(&it))
        {
            found.emplace(end->request_id, end->end);
        }
    }
    return found;
}

template <class Action>
bool has(std::vector<calls::connection_action> const& actions)
{
    return std::any_of(actions.begin(), actions.end(),
                       [](auto const& it)
                       { return std::holds_alternative<Action>(it); });
}

} // namespace

// A firewall forgets a connection: nothing sent on it arrives and no error
// comes. All calls on it would wait for their deadlines, and the next ones
// too, while a new connection works.
BOOST_AUTO_TEST_CASE(a_silent_connection_is_replaced_and_its_requests_end)
{
    calls::connection_watch it{{}, at_ms(0)};
    it.queued("sent", at_ms(60'000));
    it.writing("sent");
    it.queued("waits", at_ms(60'000));
    auto const asked = it.expire(at_ms(1'000));
    BOOST_TEST(has<calls::send_ping>(asked));
    BOOST_TEST(it.expire(at_ms(2'900)).empty());
    auto const out = it.expire(at_ms(3'000));
    BOOST_TEST(has<calls::replace_connection>(out));
    BOOST_CHECK((ended(out) == ends{{"sent", attempt_end::connection_lost},
                                    {"waits", attempt_end::not_sent}}));
    BOOST_TEST(it.in_flight() == 0U);
}

BOOST_AUTO_TEST_CASE(an_answered_ping_keeps_the_connection)
{
    calls::connection_watch it{{}, at_ms(0)};
    for (int ms = 100; ms < 20'000; ms += 100)
    {
        auto const out = it.expire(at_ms(ms));
        BOOST_TEST(!has<calls::replace_connection>(out));
        if (has<calls::send_ping>(out))
        {
            it.heard(at_ms(ms + 1));
        }
    }
}

// A process that was stopped for a minute closes every connection it has when
// it goes on, although all of them work.
BOOST_AUTO_TEST_CASE(a_process_that_was_stopped_asks_first)
{
    calls::connection_watch it{{}, at_ms(0)};
    auto const out = it.expire(at_ms(60'000));
    BOOST_TEST(has<calls::send_ping>(out));
    BOOST_TEST(!has<calls::replace_connection>(out));
}

// A caller gets another caller's answer: ids were matched by order, and an
// answer came late.
BOOST_AUTO_TEST_CASE(answers_are_matched_by_id_and_late_ones_dropped)
{
    calls::connection_watch it{{}, at_ms(0)};
    it.queued("r-1", at_ms(500));
    it.writing("r-1");
    it.queued("r-2", at_ms(900));
    it.writing("r-2");
    BOOST_TEST(it.answered("r-2", at_ms(400)));
    BOOST_CHECK((ended(it.expire(at_ms(500))) ==
                 ends{{"r-1", attempt_end::timed_out}}));
    BOOST_TEST(!it.answered("r-1", at_ms(600)));
    BOOST_TEST(!it.answered("r-2", at_ms(600)));
}

BOOST_AUTO_TEST_SUITE_END()
