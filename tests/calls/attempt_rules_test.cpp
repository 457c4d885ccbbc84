#include <calls/attempt_rules.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <ostream>

using namespace berylhill;
using calls::attempt_end;
using calls::next_step;
using calls::ran;
using calls::resend_allowance;
using model::rerun;

BOOST_AUTO_TEST_SUITE(attempt_rules)

namespace
{

/// Expected step after an end, by the call's safety, whether an earlier attempt
/// may have run, and whether a resend is allowed.
struct end_case
{
    char const* name;
    attempt_end end;
    next_step once;          ///< At most once, no earlier attempt ran.
    next_step once_tainted;  ///< At most once, an earlier attempt may have run.
    next_step again;         ///< Idempotent, a resend is allowed.
    next_step once_no_room;  ///< At most once, no resend allowed.
    next_step again_no_room; ///< Idempotent, no resend allowed.
    next_step again_taint_end; ///< Idempotent, an earlier attempt may have run,
                               ///< no resend allowed.
};

std::ostream& operator<<(std::ostream& out, end_case const& it)
{
    return out << it.name;
}

constexpr auto s_deliver = next_step::deliver;
constexpr auto s_resend = next_step::resend;
constexpr auto s_not_run = next_step::refuse_not_run;
constexpr auto s_unknown = next_step::refuse_unknown;

std::array const s_ends{
    end_case{"answered", attempt_end::answered, s_deliver, s_deliver, s_deliver,
             s_deliver, s_deliver, s_deliver},
    end_case{"not_sent", attempt_end::not_sent, s_resend, s_unknown, s_resend,
             s_not_run, s_not_run, s_unknown},
    end_case{"owner_refused", attempt_end::owner_refused, s_resend, s_unknown,
             s_resend, s_not_run, s_not_run, s_unknown},
    end_case{"owner_moved", attempt_end::ownership_moved, s_resend, s_unknown,
             s_resend, s_not_run, s_not_run, s_unknown},
    end_case{"minion_refused", attempt_end::minion_refused, s_resend, s_unknown,
             s_resend, s_not_run, s_not_run, s_unknown},
    end_case{"connection_lost", attempt_end::connection_lost, s_unknown,
             s_unknown, s_resend, s_unknown, s_unknown, s_unknown},
    end_case{"cut_short", attempt_end::answer_truncated, s_unknown, s_unknown,
             s_resend, s_unknown, s_unknown, s_unknown},
    end_case{"timed_out", attempt_end::timed_out, s_unknown, s_unknown,
             s_resend, s_unknown, s_unknown, s_unknown},
    end_case{"owner_lost", attempt_end::owner_lost, s_unknown, s_unknown,
             s_resend, s_unknown, s_unknown, s_unknown},
};

} // namespace

// Guards against a non-idempotent call running twice: the first attempt's
// connection broke after the request had been sent, and the entry treated the
// missing answer as "not run" and sent it again. Only a statement of the owner
// or the minion, or a send that never began, is certain.
BOOST_DATA_TEST_CASE(what_follows_each_end, s_ends, it)
{
    using rules = calls::attempt_rules;
    auto const after = [&](rerun safety, ran earlier, resend_allowance room)
    {
        return rules::decide(it.end, safety, earlier, room);
    };
    auto const once = rerun::at_most_once;
    auto const again = rerun::idempotent;
    auto const left = resend_allowance::allowed;
    auto const none = resend_allowance::exhausted;
    BOOST_CHECK(after(once, ran::not_run, left) == it.once);
    BOOST_CHECK(after(once, ran::unknown, left) == it.once_tainted);
    BOOST_CHECK(after(again, ran::not_run, left) == it.again);
    BOOST_CHECK(after(again, ran::unknown, left) == it.again);
    BOOST_CHECK(after(once, ran::not_run, none) == it.once_no_room);
    BOOST_CHECK(after(again, ran::not_run, none) == it.again_no_room);
    BOOST_CHECK(after(again, ran::unknown, none) == it.again_taint_end);
}

BOOST_AUTO_TEST_CASE(only_idempotent_calls_within_the_budget_are_hedged)
{
    using rules = calls::attempt_rules;
    BOOST_TEST(rules::may_hedge(rerun::idempotent, resend_allowance::allowed));
    BOOST_TEST(
        !rules::may_hedge(rerun::idempotent, resend_allowance::exhausted));
    BOOST_TEST(
        !rules::may_hedge(rerun::at_most_once, resend_allowance::allowed));
}

BOOST_AUTO_TEST_SUITE_END()
