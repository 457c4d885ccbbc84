#include "fake_cell.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <ostream>

using namespace berylhill;
using namespace berylhill::placement_test;

namespace
{

/// What the sender learns about one send of an order.
enum class send_result : std::uint8_t
{
    no_answer,
    not_taken,
};

struct sends_case
{
    char const* name;
    std::vector<send_result> sends;
    model::job_kind kind;
    model::rerun safety;
    /// Whether the same order has to be sent again instead of a new placement
    /// of the task.
    bool same_order;
};

std::ostream& operator<<(std::ostream& out, sends_case const& it)
{
    return out << it.name;
}

std::array const s_sends{
    sends_case{"the only send is not taken",
               {send_result::not_taken},
               model::job_kind::batch,
               model::rerun::idempotent,
               false},
    sends_case{"no answer, then not taken",
               {send_result::no_answer, send_result::not_taken},
               model::job_kind::batch,
               model::rerun::idempotent,
               true},
    sends_case{"no answer, then not taken twice",
               {send_result::no_answer, send_result::not_taken,
                send_result::not_taken},
               model::job_kind::batch,
               model::rerun::idempotent,
               true},
    sends_case{"no answer twice, then not taken",
               {send_result::no_answer, send_result::no_answer,
                send_result::not_taken},
               model::job_kind::service,
               model::rerun::idempotent,
               true},
    sends_case{"a hold of an at-most-once task expires by itself",
               {send_result::no_answer, send_result::not_taken},
               model::job_kind::batch,
               model::rerun::at_most_once,
               false},
    sends_case{"a hold of a gang expires by itself",
               {send_result::no_answer, send_result::not_taken},
               model::job_kind::gang,
               model::rerun::idempotent,
               false},
};

/// One task in a cell of two groups, and the order for its first attempt.
struct ordered_task
{
    explicit ordered_task(sends_case const& it)
    {
        cell.add_worker("rack-a", "w-1", {4'000, 8'192, 0});
        cell.add_worker("rack-b", "w-2", {4'000, 8'192, 0});
        cell.add_contract(unlimited_contract("kitakaze"));
        cell.step();
        auto request = request_of("kitakaze", "daily", {1'000, 1'024, 0});
        request.kind = it.kind;
        request.safety = it.safety;
        BOOST_REQUIRE(cell.queue().submit("job-1", request, cell.now));
        auto const orders = cell.queue().decide(cell.now, 1).holds;
        BOOST_REQUIRE(orders.size() == 1U);
        first = orders.front();
    }

    /// The orders that follow from the last of `sends`.
    placement::queue_actions after(std::vector<send_result> const& sends)
    {
        auto const& attempt = first.request.attempt;
        placement::queue_actions last;
        for (auto const it : sends)
        {
            last = it == send_result::no_answer
                       ? cell.queue().on_unanswered(attempt)
                       : cell.queue().on_not_taken(attempt, cell.now);
        }
        return last;
    }

    fake_cell cell;
    placement::hold_order first;
};

} // namespace

BOOST_AUTO_TEST_SUITE(unanswered_orders)

// A send that certainly had no effect must not be treated as the outcome of an
// earlier one without an answer: the task would be started in two groups.
BOOST_DATA_TEST_CASE(a_send_that_is_not_taken_settles_no_other, s_sends, it)
{
    ordered_task task{it};
    auto const next = task.after(it.sends);
    auto const same = next.holds.size() == 1U && next.holds[0] == task.first;
    BOOST_TEST(same == it.same_order);
    task.cell.advance(10);
    auto const placed_anew = task.cell.queue().decide(task.cell.now, 1).holds;
    BOOST_TEST(placed_anew.empty() == it.same_order);
}

// An answer of the group's owner settles all sends of the order: an attempt
// that it refused must not wait forever for an earlier send.
BOOST_AUTO_TEST_CASE(a_refusal_by_the_owner_settles_all_sends)
{
    auto const& it = s_sends[1];
    ordered_task task{it};
    task.after(it.sends);
    task.cell.queue().on_refused(task.first.request.attempt,
                                 placement::hold_state::full, task.cell.now);
    task.cell.advance(10);
    auto const orders = task.cell.queue().decide(task.cell.now, 1).holds;
    BOOST_REQUIRE(orders.size() == 1U);
    BOOST_TEST(orders[0].request.attempt.number ==
               task.first.request.attempt.number + 1);
    // The new attempt has no send without an answer yet.
    auto const& attempt = orders[0].request.attempt;
    BOOST_TEST(task.cell.queue().on_not_taken(attempt, task.cell.now).empty());
}

BOOST_AUTO_TEST_SUITE_END()
