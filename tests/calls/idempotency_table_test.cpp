#include "fixtures.hpp"

#include <calls/idempotency_table.hpp>

#include <boost/test/unit_test.hpp>

#include <tuple>

using namespace berylhill;
using namespace berylhill::calls::testing;
using calls::key_state;
using calls::ran;
using calls::refusal_code;

BOOST_AUTO_TEST_SUITE(idempotency_table)

namespace
{

constexpr std::uint64_t s_body = 42;

calls::idempotency_key const s_key{"kitakaze", "forecast-12"};

calls::idempotency_table table()
{
    return {std::chrono::seconds{60}, 100};
}

calls::call_intent intent(std::string request_id,
                          std::string incarnation = "e-1#1")
{
    return {s_key, std::move(request_id), s_body, std::move(incarnation)};
}

calls::call_result answer(std::string request_id)
{
    return {s_key, std::move(request_id),
            platform::minion_answer{200, "text/plain", "12.40"}};
}

calls::call_result refused(std::string request_id, ran work)
{
    return {s_key, std::move(request_id),
            calls::refusal{work, refusal_code::overloaded, "", 1}};
}

} // namespace

BOOST_AUTO_TEST_CASE(a_repeat_gets_the_first_answer)
{
    auto it = table();
    BOOST_CHECK(it.state_of(s_key, s_body) == key_state::unused);
    BOOST_TEST(it.apply(intent("r-1"), at_ms(0)));
    BOOST_CHECK(it.state_of(s_key, s_body) == key_state::in_progress);
    it.apply(answer("r-1"), at_ms(5));
    BOOST_CHECK(it.state_of(s_key, s_body) == key_state::answered);
    BOOST_TEST(it.outcome_of(s_key)->answer().body == "12.40");
}

// Guards against a call with one key running twice: a client asks two entries
// at the same time, and each writes its intent and sends the call.
BOOST_AUTO_TEST_CASE(of_two_intents_the_first_in_the_log_may_be_sent)
{
    auto it = table();
    BOOST_TEST(it.apply(intent("r-1", "e-1#1"), at_ms(0)));
    BOOST_TEST(!it.apply(intent("r-2", "e-2#1"), at_ms(1)));
    // The first intent is read again, as after a lost answer to its append.
    BOOST_TEST(it.apply(intent("r-1", "e-1#1"), at_ms(2)));
    it.apply(answer("r-2"), at_ms(3));
    BOOST_CHECK(it.state_of(s_key, s_body) == key_state::in_progress);
}

// An entry fails between writing the intent and the result. Its call may have
// run; a repeat must neither run it again nor be told that it did not run.
BOOST_AUTO_TEST_CASE(an_entry_dies_after_its_intent)
{
    auto it = table();
    std::ignore = it.apply(intent("r-1"), at_ms(0));
    it.mark_writer_lost("e-1#1", at_ms(10));
    BOOST_CHECK(it.state_of(s_key, s_body) == key_state::outcome_unknown);
    BOOST_TEST(!it.apply(intent("r-2", "e-2#1"), at_ms(20)));
    auto const why =
        calls::idempotency_table::refusal_for(key_state::outcome_unknown);
    BOOST_CHECK(why.execution == ran::unknown);
    // Its result had been sent to the log nevertheless.
    it.apply(answer("r-1"), at_ms(30));
    BOOST_CHECK(it.state_of(s_key, s_body) == key_state::answered);
}

// Guards against a key that stays in progress permanently: the intent of a
// failed entry is read only after its failure was noticed.
BOOST_AUTO_TEST_CASE(an_intent_read_after_its_writer_is_gone_is_unknown)
{
    auto it = table();
    it.mark_writer_lost("e-1#1", at_ms(0));
    std::ignore = it.apply(intent("r-1"), at_ms(10));
    BOOST_CHECK(it.state_of(s_key, s_body) == key_state::outcome_unknown);
}

BOOST_AUTO_TEST_CASE(a_first_call_that_did_not_run_leaves_the_key)
{
    auto it = table();
    std::ignore = it.apply(intent("r-1"), at_ms(0));
    it.apply(refused("r-1", ran::not_run), at_ms(5));
    BOOST_CHECK(it.state_of(s_key, s_body) == key_state::unused);
    BOOST_TEST(it.apply(intent("r-2", "e-2#1"), at_ms(10)));
    it.apply(refused("r-2", ran::unknown), at_ms(15));
    BOOST_CHECK(it.state_of(s_key, s_body) == key_state::outcome_unknown);
    BOOST_TEST(!it.apply(intent("r-3"), at_ms(20)));
}

BOOST_AUTO_TEST_CASE(another_request_under_the_key_is_a_conflict)
{
    auto it = table();
    std::ignore = it.apply(intent("r-1"), at_ms(0));
    BOOST_CHECK(it.state_of(s_key, s_body + 1) == key_state::conflict);
    auto const why = calls::idempotency_table::refusal_for(key_state::conflict);
    BOOST_CHECK(why.execution == ran::not_run);
}

BOOST_AUTO_TEST_CASE(keys_of_two_contracts_are_distinct)
{
    auto it = table();
    std::ignore = it.apply(intent("r-1"), at_ms(0));
    BOOST_CHECK(it.state_of({"cantabrica", s_key.key}, s_body) ==
                key_state::unused);
    BOOST_CHECK(it.state_of({"kitakazefore", "cast-12"}, s_body) ==
                key_state::unused);
}

BOOST_AUTO_TEST_CASE(keys_age_out_after_their_last_record_and_are_bounded)
{
    calls::idempotency_table it{std::chrono::seconds{60}, 1};
    std::ignore = it.apply(intent("r-1"), at_ms(0));
    BOOST_TEST(it.full());
    it.apply(answer("r-1"), at_ms(30'000));
    it.expire(at_ms(60'000));
    BOOST_TEST(it.size() == 1U);
    it.expire(at_ms(90'000));
    BOOST_TEST(it.size() == 0U);
    BOOST_TEST(!it.full());
}

BOOST_AUTO_TEST_SUITE_END()
