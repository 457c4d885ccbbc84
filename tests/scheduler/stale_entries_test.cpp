#include "scheduler_fixture.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>
#include <ostream>

using namespace berylhill;
using namespace berylhill::scheduler_test;
using std::chrono::milliseconds;

namespace
{

/// An entry as read from the platform's endpoint list.
struct entry_case
{
    char const* story;
    /// The greatest age of the entry; empty if it is unknown.
    std::optional<milliseconds> age;
    bool starts;
};

std::ostream& operator<<(std::ostream& to, entry_case const& it)
{
    return to << it.story;
}

entry_case const entries[] = {
    {"written just now", milliseconds{0}, true},
    {"written one heartbeat ago", milliseconds{1'500}, true},
    {"written two heartbeats ago", milliseconds{3'000}, true},
    {"written before the store was away", milliseconds{5'000}, false},
    {"its age is unknown", std::nullopt, false},
};

/// What happens to the only instance while an order is without an answer.
enum class list_change : std::uint8_t
{
    none,
    not_read,
    removed,
    listed_smaller,
};

struct repeat_case
{
    char const* story;
    list_change change;
    bool repeats;
};

std::ostream& operator<<(std::ostream& to, repeat_case const& it)
{
    return to << it.story;
}

repeat_case const repeats[] = {
    {"the entry is written again", list_change::none, true},
    {"the list can't be read", list_change::not_read, false},
    {"the entry is gone", list_change::removed, false},
    {"it is listed anew with less room", list_change::listed_smaller, false},
};

class stale_fixture : public scheduler_fixture
{
public:
    stale_fixture()
        : scheduler_fixture{{}, scheduler::policy{}}
    {
    }

    /// Lists the instance "a" with an entry that may be this old.
    void list_entry(std::optional<base::duration> age,
                    std::int64_t cpu_millis = 4'000)
    {
        scheduler::instance_info info;
        info.id = "a";
        info.service = "svc";
        info.address = "a";
        info.capacity = {cpu_millis, 4'000, 0};
        info.labels = {"kind", "rack"};
        decisions.instance_listed(
            info, age ? std::optional{now - *age} : std::nullopt, now);
    }

    void change_list(list_change it)
    {
        switch (it)
        {
        case list_change::none:
            list_entry(milliseconds{0});
            return;
        case list_change::not_read:
            return;
        case list_change::removed:
            decisions.instance_unlisted("a", now);
            return;
        case list_change::listed_smaller:
            decisions.instance_unlisted("a", now);
            list_entry(milliseconds{0}, 500);
            return;
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(stale_entries, stale_fixture)

/// Guards against overcommitting an instance that shrank while the store was
/// away: the first read after that returns entries of before.
BOOST_DATA_TEST_CASE(an_old_entry_gets_no_start,
                     boost::unit_test::data::make(entries))
{
    list_entry(sample.age);
    report("a");
    decisions.submit(job(1, 1), 0, now);
    BOOST_TEST(starts().size() == (sample.starts ? 1U : 0U));
    list_entry(milliseconds{0});
    BOOST_TEST(starts().size() == (sample.starts ? 0U : 1U));
}

/// Guards against the same where the start was decided before the store was
/// away and its record is stored after.
BOOST_AUTO_TEST_CASE(a_start_that_is_stored_late_is_not_sent)
{
    list_entry(milliseconds{0});
    report("a");
    decisions.submit(job(1, 1), 0, now);
    BOOST_TEST(decide().empty());
    advance(milliseconds{5'000});
    report("a");
    BOOST_TEST(count_of<scheduler::start_order>(store()) == 0U);
    list_entry(milliseconds{0});
    BOOST_TEST(starts().size() == 1U);
}

/// Guards against orders that are sent again to an instance of which only its
/// former state is known.
BOOST_DATA_TEST_CASE(an_unanswered_start_is_stopped_where_the_entry_is_outdated,
                     boost::unit_test::data::make(repeats))
{
    list_entry(milliseconds{0});
    report("a");
    decisions.submit(job(1, 1), 0, now);
    auto const start = starts().at(0);
    answer(start, scheduler::start_answer::unanswered);
    advance(milliseconds{5'000});
    report("a");
    change_list(sample.change);
    decisions.tick(0, now);
    auto orders = decisions.take_orders();
    auto const stored = store();
    orders.insert(orders.end(), stored.begin(), stored.end());
    BOOST_TEST(count_of<scheduler::start_order>(orders) ==
               (sample.repeats ? 1U : 0U));
    BOOST_TEST(count_of<scheduler::stop_order>(orders) ==
               (sample.repeats ? 0U : 1U));
}

BOOST_AUTO_TEST_SUITE_END()
