#include <lease/attempt_book.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <ostream>

using namespace berylhill;
using namespace berylhill::lease;

namespace
{

model::task_id const s_task{"job", 0};

enum class happening : std::uint8_t
{
    nothing,
    confirmed_end,
    worker_lost,
    not_in_inventory,
    never_started,
};

struct replacing
{
    char const* name;
    model::rerun safety;
    happening what;
    placement expected;
};

std::ostream& operator<<(std::ostream& out, replacing const& it)
{
    return out << it.name;
}

using model::rerun;

std::array const s_replacing{
    replacing{"running", rerun::idempotent, happening::nothing,
              placement::runs},
    replacing{"stop confirmed", rerun::idempotent, happening::confirmed_end,
              placement::allowed},
    replacing{"stop confirmed, at most once", rerun::at_most_once,
              happening::confirmed_end, placement::allowed},
    replacing{"worker lost", rerun::idempotent, happening::worker_lost,
              placement::allowed},
    replacing{"worker lost, at most once", rerun::at_most_once,
              happening::worker_lost, placement::may_have_run},
    replacing{"gone from the inventory", rerun::idempotent,
              happening::not_in_inventory, placement::allowed},
    replacing{"gone from the inventory, at most once", rerun::at_most_once,
              happening::not_in_inventory, placement::may_have_run},
    replacing{"never started, at most once", rerun::at_most_once,
              happening::never_started, placement::allowed},
};

} // namespace

BOOST_AUTO_TEST_SUITE(attempt_book_suite)

// A worker falls silent with a customer's task. Started again too early it
// runs in two places; started again at all, a non-idempotent one runs twice.
BOOST_DATA_TEST_CASE(when_a_task_may_be_placed_again, s_replacing, it)
{
    attempt_book book;
    auto const attempt = book.begin(s_task, "w1", it.safety);
    switch (it.what)
    {
    case happening::nothing:
        break;
    case happening::confirmed_end:
        BOOST_CHECK(book.finish(attempt) == verdict::accepted);
        break;
    case happening::worker_lost:
        BOOST_TEST(book.lost_worker("w1").size() == 1U);
        break;
    case happening::not_in_inventory:
        book.lost(attempt);
        break;
    case happening::never_started:
        book.never_started(attempt);
        break;
    }
    BOOST_CHECK(book.may_place(s_task) == it.expected);
}

// A worker that was cut off comes back with the result of an attempt that was
// given up and placed again: the customer would get two different reports.
BOOST_AUTO_TEST_CASE(a_late_result_of_an_older_attempt_is_refused)
{
    attempt_book book;
    auto const old = book.begin(s_task, "w1", rerun::idempotent);
    (void)book.lost_worker("w1");
    BOOST_CHECK(book.finish(old) == verdict::late);
    auto const newer = book.begin(s_task, "w2", rerun::idempotent);
    BOOST_TEST(newer.number == old.number + 1);
    BOOST_CHECK(book.finish(old) == verdict::late);
    BOOST_TEST(!book.adopt(old, "w1", rerun::idempotent));
    BOOST_CHECK(book.finish(newer) == verdict::accepted);
    BOOST_CHECK(book.finish(newer) == verdict::repeated);
}

// An entry dies and another takes its group over. The tasks that run must go
// on, not be restarted, and their numbers must not be given again.
BOOST_AUTO_TEST_CASE(a_running_attempt_is_adopted)
{
    attempt_book book;
    BOOST_TEST(book.adopt({s_task, 3}, "w1", rerun::at_most_once));
    BOOST_CHECK(book.may_place(s_task) == placement::runs);
    BOOST_TEST(book.adopt({s_task, 3}, "w1", rerun::at_most_once));
    BOOST_TEST(!book.adopt({s_task, 3}, "w2", rerun::at_most_once));
    BOOST_TEST(book.running_on("w1").size() == 1U);
    BOOST_CHECK(book.finish({s_task, 3}) == verdict::accepted);
    BOOST_TEST(book.begin(s_task, "w2", rerun::at_most_once).number == 4);
}

BOOST_AUTO_TEST_CASE(a_finished_job_leaves_nothing)
{
    attempt_book book;
    (void)book.begin(s_task, "w1", rerun::idempotent);
    book.forget(s_task);
    BOOST_CHECK(book == attempt_book{});
}

BOOST_AUTO_TEST_SUITE_END()
