#include "scheduler_fixture.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <memory>
#include <ostream>
#include <string>
#include <vector>

using namespace berylhill;
using namespace berylhill::scheduler_test;
using scheduler::end_reason;
using scheduler::job_phase;
using scheduler::start_order;
using std::chrono::milliseconds;

namespace
{

/// More cuts than losses that give up a task.
constexpr std::uint32_t cuts = 12;

/// A task that crashes its instances is started at most this often.
constexpr std::uint32_t most_starts = 5;

/// Longer than any lease.
constexpr milliseconds lapse{12'000};

constexpr milliseconds moment{10};

/// What is heard of an instance after its leases have expired.
enum class news : std::uint8_t
{
    /// It reports that its attempts have lapsed.
    lapsed,
    /// It reports that nothing runs there.
    empty_report,
    /// Its entry in the endpoint list was written after the leases expired.
    later_entry,
    /// Its entry was last written while the leases were in force.
    earlier_entry,
    /// An entry of another system stands in place of its own.
    foreign_entry,
    /// A report that was requested while the leases were in force.
    earlier_report,
    /// Another incarnation answers at its address.
    other_incarnation,
    /// Its entry is gone.
    no_entry,
    nothing,
};

/// When the owner is lost.
enum class owner_loss : std::uint8_t
{
    never,
    /// After it has counted the loss, before the news.
    before_news,
    after_news,
};

struct loss_case
{
    char const* story;
    news heard;
    owner_loss owner{owner_loss::never};
    std::uint32_t tasks{1};
    bool gang{false};
    bool lasting{false};
    /// Every start is on another instance.
    bool wanders{false};
    /// The start was answered.
    bool answered{true};
    /// Each second instance of the wandering task crashes in sight of the
    /// owner.
    bool crashes_between{false};
};

std::ostream& operator<<(std::ostream& to, loss_case const& it)
{
    return to << it.story;
}

loss_case const harmless_cases[] = {
    {"one instance, lapsed attempts are reported", news::lapsed},
    {"one instance, nothing is reported", news::empty_report},
    {"one instance, its entry is still written", news::later_entry},
    {"always another instance", news::lapsed, owner_loss::never, 1, false,
     false, true},
    {"always another instance, entries", news::later_entry, owner_loss::never,
     1, false, false, true},
    {"the owner is lost before the news", news::lapsed,
     owner_loss::before_news},
    {"the owner is lost before the news, entries", news::later_entry,
     owner_loss::before_news},
    {"the owner is lost after the news", news::lapsed, owner_loss::after_news},
    {"a gang", news::lapsed, owner_loss::never, 2, true},
    {"a gang, the owner is lost", news::lapsed, owner_loss::before_news, 2,
     true},
    {"a long-running task", news::lapsed, owner_loss::never, 1, false, true},
    {"a start without an answer", news::empty_report, owner_loss::never, 1,
     false, false, false, false},
};

loss_case const harmful_cases[] = {
    {"nothing is heard again", news::nothing, owner_loss::never, 1, false,
     false, true},
    {"another incarnation answers", news::other_incarnation, owner_loss::never,
     1, false, false, true},
    {"another incarnation answers the next owner", news::other_incarnation,
     owner_loss::before_news, 1, false, false, true},
    {"the entry is gone", news::no_entry, owner_loss::never, 1, false, false,
     true},
    {"the entry was written before", news::earlier_entry, owner_loss::never, 1,
     false, false, true},
    {"the entry was written before, the owner is lost", news::earlier_entry,
     owner_loss::before_news, 1, false, false, true},
    {"another system's entry", news::foreign_entry, owner_loss::never, 1, false,
     false, true},
    {"the report was requested before", news::earlier_report, owner_loss::never,
     1, false, false, true},
    {"a gang", news::nothing, owner_loss::before_news, 2, true, false, true},
    {"a long-running task", news::nothing, owner_loss::never, 1, false, true,
     true},
    {"crashes between the cuts of a link", news::lapsed, owner_loss::never, 1,
     false, false, true, true, true},
};

std::uint64_t next_end(std::uint32_t round)
{
    return std::uint64_t{round} * 10 + 1;
}

/// A cell with a job that needs one instance at a time, and the losses of that
/// instance.
class lossy_cell
{
public:
    explicit lossy_cell(loss_case const& it)
        : m_case{it}
    {
        auto job = scheduler_fixture::job(1, it.tasks);
        job.steps[0].gang = it.gang;
        job.steps[0].long_running = it.lasting;
        m_cell->decisions.submit(job, 0, m_cell->now);
    }

    /// Starts the job on an instance that is lost then. Returns whether it
    /// starts.
    bool lose_one(std::uint32_t round)
    {
        auto const id = m_case.wanders ? "i-" + std::to_string(round) : "i";
        m_cell->list(id);
        m_cell->report(id);
        auto const starts = m_cell->starts();
        if (starts.empty())
        {
            return false;
        }
        for (auto const& it : starts)
        {
            if (m_case.answered)
            {
                m_cell->confirm(it);
            }
        }
        if (m_case.crashes_between && round % 2 == 1)
        {
            crash(id);
            return true;
        }
        silence(id);
        if (m_case.owner == owner_loss::before_news)
        {
            change_owner();
        }
        hear(id, starts, round);
        if (m_case.wanders)
        {
            m_cell->decisions.instance_unlisted(id, m_cell->now);
        }
        std::ignore = m_cell->store();
        if (m_case.owner == owner_loss::after_news)
        {
            change_owner();
        }
        return true;
    }

    [[nodiscard]] bool failed() const
    {
        return m_cell->decisions.phase_of({1}) == job_phase::failed;
    }

    [[nodiscard]] std::uint32_t crashes() const noexcept
    {
        return m_crashes;
    }

private:
    void crash(std::string const& id)
    {
        ++m_crashes;
        m_cell->advance(moment);
        m_cell->decisions.instance_replaced(id, m_cell->now);
        m_cell->decisions.instance_unlisted(id, m_cell->now);
        std::ignore = m_cell->store();
    }

    void silence(std::string const& id)
    {
        m_cell->advance(moment);
        m_in_force = m_cell->now;
        m_cell->decisions.hold_unanswered(id, m_cell->now);
        m_cell->advance(lapse);
        m_cell->decisions.tick(0, m_cell->now);
        std::ignore = m_cell->store();
        m_cell->advance(moment);
    }

    void change_owner()
    {
        auto const now = m_cell->now;
        auto const records = m_cell->records;
        m_cell = std::make_unique<scheduler_fixture>(
            records, scheduler_fixture::rules(), now);
        m_cell->advance(moment);
    }

    void hear(std::string const& id,
              std::vector<start_order> const& starts,
              std::uint32_t round)
    {
        auto& decisions = m_cell->decisions;
        switch (m_case.heard)
        {
        case news::lapsed:
        {
            std::vector<scheduler::ended_attempt_report> ended;
            ended.reserve(starts.size());
            for (auto const& it : starts)
            {
                ended.push_back({next_end(round) + ended.size(),
                                 it.attempt,
                                 end_reason::lease_lapsed,
                                 {}});
            }
            m_cell->list(id);
            m_cell->report(id, {}, ended);
            break;
        }
        case news::empty_report:
            m_cell->list(id);
            m_cell->report(id);
            break;
        case news::later_entry:
            m_cell->list(id);
            break;
        case news::earlier_entry:
            m_cell->list_written(id, m_in_force);
            decisions.instance_unlisted(id, m_cell->now);
            break;
        case news::foreign_entry:
            m_cell->list_at(id, "stranger", id);
            break;
        case news::earlier_report:
            decisions.hold_answered(
                {id, m_in_force, m_cell->now, m_cell->clock_ms(), {}, {}});
            decisions.hold_unanswered(id, m_cell->now);
            break;
        case news::other_incarnation:
            decisions.instance_replaced(id, m_cell->now);
            break;
        case news::no_entry:
            decisions.instance_unlisted(id, m_cell->now);
            break;
        case news::nothing:
            break;
        }
    }

    loss_case const& m_case;
    std::unique_ptr<scheduler_fixture> m_cell{
        std::make_unique<scheduler_fixture>()};
    /// A time at which the leases of the lost instance were in force.
    base::instant m_in_force;
    std::uint32_t m_crashes{0};
};

} // namespace

BOOST_AUTO_TEST_SUITE(silent_losses)

/// Guards against failing a job because the links to its instances were cut,
/// although no instance crashed.
BOOST_DATA_TEST_CASE(a_task_on_instances_that_live_on_is_not_given_up,
                     boost::unit_test::data::make(harmless_cases))
{
    lossy_cell it{sample};
    for (std::uint32_t n = 0; n < cuts; ++n)
    {
        BOOST_TEST_REQUIRE(it.lose_one(n));
        BOOST_TEST_REQUIRE(!it.failed());
    }
}

/// Guards against starting a task that crashes its instances without a bound:
/// nothing shows that an instance lived on.
BOOST_DATA_TEST_CASE(a_task_on_instances_that_are_gone_is_given_up,
                     boost::unit_test::data::make(harmful_cases))
{
    lossy_cell it{sample};
    std::uint32_t starts = 0;
    while (starts < 2 * cuts && it.lose_one(starts))
    {
        ++starts;
    }
    BOOST_TEST((sample.crashes_between ? it.crashes() : starts) <= most_starts);
    BOOST_TEST(it.failed());
}

BOOST_AUTO_TEST_SUITE_END()
