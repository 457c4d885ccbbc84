#include "scheduler_fixture.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

using namespace berylhill;
using namespace berylhill::scheduler_test;
using scheduler::cancellation;
using scheduler::job_phase;

namespace
{

constexpr workload::job_id id{1};
constexpr std::size_t sequence_length = 6;
constexpr std::size_t event_kinds = 7;

/// What may happen next to the cell.
enum class event : std::uint8_t
{
    /// A submission or a cancellation reaches the owner, of whichever attempt
    /// of the caller and by whichever entry.
    submit,
    cancel,
    /// The next batch is sent to the store.
    batch_sent,
    batch_stored,
    /// The store refuses the batch; submissions in it are refused.
    batch_refused,
    /// Another owner takes over; the batch under way is stored, or lost.
    takeover_stored,
    takeover_lost,
};

char name_of(event it)
{
    return "scbSRTL"[static_cast<std::size_t>(it)];
}

/// An owner of one job, and the callers that cancel it.
class cancelled_cell
{
public:
    explicit cancelled_cell(std::uint32_t tasks)
        : m_tasks{tasks}
    {
        begin({});
    }

    void carry_out(event it)
    {
        switch (it)
        {
        case event::submit:
            std::ignore = m_cell->decisions.submit(
                scheduler_fixture::job(id.number, m_tasks), 0, m_cell->now);
            return;
        case event::cancel:
            cancel();
            return;
        case event::batch_sent:
            send();
            return;
        case event::batch_stored:
            store();
            return;
        case event::batch_refused:
            refuse();
            return;
        case event::takeover_stored:
            write();
            begin(m_stored);
            return;
        case event::takeover_lost:
            begin(m_stored);
            return;
        }
    }

    /// A caller was told that the job is cancelled, or does not exist.
    [[nodiscard]] bool acknowledged() const noexcept
    {
        return m_acknowledged;
    }

    /// Whether a task of the job could start now, or the job is shown as one
    /// that is not cancelled.
    [[nodiscard]] bool alive() const
    {
        auto const phase = m_cell->decisions.phase_of(id);
        return !m_cell->decisions.jobs().ready().empty() ||
               (phase && *phase != job_phase::cancelled);
    }

private:
    void begin(std::map<std::string, std::string> const& records)
    {
        m_cell = std::make_unique<scheduler_fixture>(records);
        m_cell->list("a");
        m_cell->report("a");
        m_sent.clear();
        m_under_way = false;
        m_waits = false;
        m_waits_for_sent = false;
    }

    void cancel()
    {
        switch (m_cell->decisions.cancel(id, {}, m_cell->now))
        {
        case cancellation::unknown_stored:
        case cancellation::already_finished:
            m_acknowledged = true;
            return;
        case cancellation::unknown:
        case cancellation::accepted:
            m_waits = true;
            return;
        case cancellation::refused:
            return;
        }
    }

    void send()
    {
        if (m_under_way)
        {
            return;
        }
        if (!m_cell->decisions.batch_pending())
        {
            m_acknowledged |= m_waits;
            m_waits = false;
            return;
        }
        m_sent = m_cell->decisions.take_batch(m_cell->now);
        m_under_way = true;
        m_waits_for_sent = std::exchange(m_waits, false);
    }

    void store()
    {
        if (!std::exchange(m_under_way, false))
        {
            return;
        }
        write();
        m_cell->decisions.batch_stored(m_cell->now);
        m_acknowledged |= std::exchange(m_waits_for_sent, false);
    }

    void refuse()
    {
        if (!std::exchange(m_under_way, false))
        {
            return;
        }
        m_sent.clear();
        m_cell->decisions.batch_not_stored();
        m_waits |= std::exchange(m_waits_for_sent, false);
        std::ignore = m_cell->decisions.withdraw(id);
    }

    void write()
    {
        for (auto const& it : m_sent)
        {
            if (it.value.empty())
            {
                m_stored.erase(it.key);
                continue;
            }
            m_stored[it.key] = it.value;
        }
        m_sent.clear();
    }

    std::uint32_t m_tasks;
    std::unique_ptr<scheduler_fixture> m_cell;
    std::map<std::string, std::string> m_stored;
    /// The records of the batch under way.
    std::vector<scheduler::record> m_sent;
    bool m_under_way{false};
    /// A caller waits for the next batch, or for the one under way.
    bool m_waits{false};
    bool m_waits_for_sent{false};
    bool m_acknowledged{false};
};

/// Plays one sequence, the digits of `number`; returns its events if the job
/// lives although its cancellation was acknowledged, else nothing.
std::string play(std::size_t number, std::uint32_t tasks)
{
    cancelled_cell it{tasks};
    std::string events;
    for (std::size_t n = 0; n < sequence_length; ++n)
    {
        auto const next = static_cast<event>(number % event_kinds);
        number /= event_kinds;
        events += name_of(next);
        it.carry_out(next);
        if (it.acknowledged() && it.alive())
        {
            return events;
        }
    }
    return {};
}

} // namespace

BOOST_AUTO_TEST_SUITE(cancellation_orders)

/// Guards against a job that runs after its cancellation was acknowledged, in
/// any order of attempts, batches and changes of owner.
BOOST_DATA_TEST_CASE(no_job_outlives_its_acknowledged_cancellation,
                     boost::unit_test::data::make({1U, 100U}),
                     tasks)
{
    std::size_t sequences = 1;
    for (std::size_t n = 0; n < sequence_length; ++n)
    {
        sequences *= event_kinds;
    }
    std::vector<std::string> found;
    for (std::size_t n = 0; n < sequences; ++n)
    {
        if (auto const events = play(n, tasks); !events.empty())
        {
            found.push_back(events);
        }
    }
    BOOST_TEST(found.empty());
    if (!found.empty())
    {
        BOOST_TEST_MESSAGE(found.size()
                           << " sequences, first " << found.front());
    }
}

BOOST_AUTO_TEST_SUITE_END()
