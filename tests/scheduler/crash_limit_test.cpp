#include "bench_owner.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <memory>
#include <ostream>

using namespace berylhill;
using namespace berylhill::scheduler_test;
using scheduler::job_phase;
using std::chrono::milliseconds;

namespace
{

/// Three instances may crash under a task, and two starts more are allowed.
constexpr std::uint32_t most_starts = 5;

/// More than any bound.
constexpr std::uint32_t rounds = 12;

/// How the owner learns that the instance is lost.
enum class loss : std::uint8_t
{
    /// Another life answers at its address.
    another_life,
    /// Nothing answers until its leases have lapsed.
    silence,
    /// The owner is lost with it; its successor finds another life.
    another_life_and_owner,
    /// The owner is lost with it; its successor finds nothing there.
    silence_and_owner,
};

struct crash_case
{
    char const* story;
    loss how;
    std::uint32_t tasks{1};
    bool gang{false};
    bool lasting{false};
    bool copies{false};
    /// The start was answered before the crash.
    bool answered{true};
};

std::ostream& operator<<(std::ostream& to, crash_case const& it)
{
    return to << it.story;
}

crash_case const crash_cases[] = {
    {"another life is found", loss::another_life},
    {"the start is not answered", loss::another_life, 1, false, false, false,
     false},
    {"the leases lapse", loss::silence},
    {"the leases lapse, the start is not answered", loss::silence, 1, false,
     false, false, false},
    {"the owner is lost each time", loss::another_life_and_owner},
    {"the owner is lost each time, the leases lapse", loss::silence_and_owner},
    {"a gang", loss::another_life, 2, true},
    {"a gang, the owner is lost each time", loss::silence_and_owner, 2, true},
    {"a task that lasts", loss::another_life, 1, false, true},
    {"a task that lasts, the owner is lost each time",
     loss::another_life_and_owner, 1, false, true},
    {"a task that may run in copies", loss::another_life, 1, false, false,
     true},
};

workload::job_spec job_of(crash_case const& it)
{
    auto out = bench_owner::job(1, it.tasks);
    out.steps[0].gang = it.gang;
    out.steps[0].lasting = it.lasting;
    out.steps[0].copies_allowed = it.copies;
    return out;
}

bool owner_lost(loss it)
{
    return it == loss::another_life_and_owner || it == loss::silence_and_owner;
}

/// The instance is lost 10 ms after the starts were sent.
void lose(std::unique_ptr<bench_owner>& it, std::string const& id, loss how)
{
    constexpr milliseconds lapse{12'000};
    it->advance(milliseconds{10});
    it->decisions.silent(id, it->now);
    (void)it->store();
    if (owner_lost(how))
    {
        auto const records = it->records;
        it = std::make_unique<bench_owner>(records);
    }
    if (how == loss::another_life || how == loss::another_life_and_owner)
    {
        it->list(id);
        it->decisions.gone(id, it->now);
    }
    else
    {
        it->advance(lapse);
        it->decisions.tick(0, it->now);
    }
    (void)it->store();
}

/// How often the first task starts while each start's instance crashes.
std::uint32_t starts_until_given_up(std::unique_ptr<bench_owner>& it,
                                    crash_case const& of)
{
    it->decisions.submit(job_of(of), 0, it->now);
    for (std::uint32_t n = 0; n < rounds; ++n)
    {
        auto const id = "i-" + std::to_string(n);
        it->list(id);
        it->report(id);
        auto const starts = it->starts();
        if (starts.empty())
        {
            return n;
        }
        for (auto const& start : starts)
        {
            if (of.answered)
            {
                it->confirm(start);
            }
        }
        lose(it, id, of.how);
    }
    return rounds;
}

} // namespace

BOOST_AUTO_TEST_SUITE(crash_limit)

/// A task that crashes every instance that starts it is started again and
/// again, and takes the others' work there with it.
BOOST_DATA_TEST_CASE(a_task_that_crashes_its_instances_is_given_up,
                     boost::unit_test::data::make(crash_cases))
{
    auto it = std::make_unique<bench_owner>();
    BOOST_TEST(starts_until_given_up(it, sample) <= most_starts);
    BOOST_TEST((it->decisions.phase_of({1}) == job_phase::failed));
}

BOOST_AUTO_TEST_SUITE_END()
