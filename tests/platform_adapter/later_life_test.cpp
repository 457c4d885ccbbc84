#include "cell_fixture.hpp"
#include "stand_ins/documents.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>
#include <ostream>
#include <set>
#include <string>
#include <vector>

using namespace berylhill;
using namespace berylhill::platform_test;

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds work{100};
constexpr milliseconds slow_append{350};
/// Shorter than an append: the starts of the later jobs are stored while the
/// first task runs.
constexpr milliseconds between_submissions{100};
constexpr milliseconds from_report_to_crash{20};
constexpr milliseconds from_crash_to_kill{700};

/// For how long a second run is looked for.
constexpr milliseconds watch_time{12'000};

enum class owner_fate : std::uint8_t
{
    lives,
    killed_after_the_crash,
};

struct crash_case
{
    char const* name;
    /// How many jobs have tasks that start after the crash.
    std::size_t jobs;
    owner_fate fate;
};

std::ostream& operator<<(std::ostream& to, crash_case const& it)
{
    return to << it.name;
}

crash_case const crashes[] = {
    {"one job after the crash", 1, owner_fate::lives},
    {"several jobs after the crash", 6, owner_fate::lives},
    {"several jobs, then the owner is killed", 6,
     owner_fate::killed_after_the_crash},
};

/// A cell whose instances tell their birth. Tasks that began again after an end
/// `done` that was acknowledged are noted.
class later_life_fixture : public cell_fixture
{
public:
    later_life_fixture()
    {
        for (auto& it : instances)
        {
            it->tell_birth();
            it->set_work(work);
            it->on_end(
                [this, at = it.get()](std::string const& task,
                                      std::string const& how)
                {
                    ended = at;
                    if (how == "done")
                    {
                        starts_at_end[task] = started[task];
                    }
                });
            it->on_acknowledged([this](std::string const& task)
                                { acknowledged.insert(task); });
        }
    }

    void pass(milliseconds it)
    {
        run_until([] { return false; }, it);
    }

    /// The tasks with a start after an acknowledged end `done`.
    [[nodiscard]] std::vector<std::string> started_again() const
    {
        std::vector<std::string> out;
        for (auto const& task : acknowledged)
        {
            if (started.at(task) > starts_at_end.at(task))
            {
                out.push_back(task);
            }
        }
        return out;
    }

    /// The instance at which the last attempt ended.
    instance_stand_in* ended{nullptr};
    /// How often the task had begun when it ended `done` for the first time.
    std::map<std::string, int> starts_at_end;
    std::set<std::string> acknowledged;
};

} // namespace

BOOST_AUTO_TEST_SUITE(later_life)

/// Guards against a second run of a task that has ended on an instance which
/// crashed and started again while the end of an earlier task was being stored,
/// and against accepted jobs that wait for ever for such an end.
BOOST_DATA_TEST_CASE(no_task_that_has_ended_on_a_later_life_starts_again,
                     boost::unit_test::data::make(crashes))
{
    std::vector<std::optional<unsigned>> answers(sample.jobs + 1);
    later_life_fixture it;
    BOOST_REQUIRE(it.all_ready());
    BOOST_REQUIRE(it.submit(0, 1) == 200U);
    BOOST_REQUIRE(it.run_until([&] { return it.completed(0, 1); }));
    it.store->set_append_delay(slow_append);
    auto const known = it.starts_at_end.size();
    it.submit_beside(0, 2, answers[0]);
    it.pass(between_submissions);
    for (std::size_t n = 1; n <= sample.jobs; ++n)
    {
        it.submit_beside(0, 2 + n, answers[n]);
    }
    BOOST_REQUIRE(
        it.run_until([&] { return it.starts_at_end.size() > known; }));
    it.pass(from_report_to_crash);
    it.ended->restart(it.ended->id());
    if (sample.fate == owner_fate::killed_after_the_crash)
    {
        it.pass(from_crash_to_kill);
        auto const owner = it.owner();
        BOOST_REQUIRE(owner.has_value());
        it.stop_process(*owner);
        it.start_process(*owner);
    }
    it.run_until([&] { return !it.started_again().empty(); }, watch_time);
    BOOST_TEST(it.started_again() == std::vector<std::string>{},
               boost::test_tools::per_element());
    for (std::size_t n = 0; n < answers.size(); ++n)
    {
        BOOST_TEST_CONTEXT("job " << 2 + n)
        {
            BOOST_TEST((answers[n] != 200U ||
                        it.run_until([&] { return it.completed(0, 2 + n); })));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
