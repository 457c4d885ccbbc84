#include <cell/batch_waiters.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <set>
#include <string>
#include <vector>

using namespace berylhill;

namespace
{

/// An action of a client or the store.
enum class event : std::uint8_t
{
    submit_first,
    submit_second,
    batch_sent,
    batch_returned,
    batch_stored,
    refuse_unsent,
};

struct waiting_case
{
    char const* name;
    std::vector<event> events;
    /// The job of each client, in the order in which they are answered.
    std::vector<std::uint64_t> refused;
    std::vector<std::uint64_t> accepted;
};

std::ostream& operator<<(std::ostream& to, waiting_case const& it)
{
    return to << it.name;
}

using enum event;

waiting_case const cases[] = {
    {"stored", {submit_first, batch_sent, batch_stored}, {}, {1}},
    {"refused before it was sent", {submit_first, refuse_unsent}, {1}, {}},
    {"sent is not refused",
     {submit_first, batch_sent, refuse_unsent, batch_stored},
     {},
     {1}},
    {"returned, then refused",
     {submit_first, batch_sent, batch_returned, refuse_unsent},
     {1},
     {}},
    {"two clients of one job are refused together",
     {submit_first, submit_first, submit_second, refuse_unsent, batch_sent,
      batch_stored},
     {1, 1, 2},
     {}},
    {"the second client came after the batch was sent",
     {submit_first, batch_sent, submit_first, refuse_unsent, batch_stored,
      batch_sent, batch_stored},
     {},
     {1, 1}},
    {"returned, with a second client",
     {submit_first, batch_sent, submit_first, batch_returned, refuse_unsent,
      batch_sent, batch_stored},
     {1, 1},
     {}},
};

/// Clients, and an owner that knows which jobs it has not sent.
struct fixture
{
    void submit(std::uint64_t id)
    {
        if (!sent.contains(id))
        {
            unsent.insert(id);
        }
        waiters.add({{}, {id}, base::instant{std::chrono::seconds{1}}});
    }

    void play(event it)
    {
        switch (it)
        {
        case submit_first:
            submit(1);
            return;
        case submit_second:
            submit(2);
            return;
        case batch_sent:
            waiters.batch_sent();
            sent.merge(unsent);
            unsent.clear();
            return;
        case batch_returned:
            waiters.batch_not_stored();
            unsent.merge(sent);
            sent.clear();
            return;
        case batch_stored:
            note(waiters.batch_stored(), accepted);
            return;
        case refuse_unsent:
            note(
                waiters.refuse_unsent([this](workload::job_id job)
                                      { return unsent.erase(job.number) > 0; }),
                refused);
            return;
        }
    }

    static void note(cell::batch_waiters::list const& told,
                     std::vector<std::uint64_t>& in)
    {
        for (auto const& it : told)
        {
            in.push_back(it.submitted_job.number);
        }
    }

    cell::batch_waiters waiters;
    std::set<std::uint64_t> unsent;
    std::set<std::uint64_t> sent;
    std::vector<std::uint64_t> refused;
    std::vector<std::uint64_t> accepted;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(batch_waiters, fixture)

/// Guards against a job that is reported as accepted and then unknown. While
/// the store is blocked a submission gets no answer and is retried, so two
/// clients wait for one job. The job was withdrawn when the first client was
/// refused, but the second client waited for the next batch and was told that
/// the job was accepted.
BOOST_DATA_TEST_CASE(all_clients_of_a_job_get_the_same_answer,
                     boost::unit_test::data::make(cases))
{
    for (auto const it : sample.events)
    {
        play(it);
    }
    BOOST_TEST(refused == sample.refused, boost::test_tools::per_element());
    BOOST_TEST(accepted == sample.accepted, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(clients_are_answered_at_their_deadline)
{
    submit(1);
    waiters.batch_sent();
    submit(2);
    BOOST_TEST(waiters.expire(base::instant{}).empty());
    note(waiters.expire(base::instant{std::chrono::seconds{1}}), refused);
    BOOST_TEST(refused == (std::vector<std::uint64_t>{2, 1}),
               boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
