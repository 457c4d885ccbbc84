#include <scheduler/run_times.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace berylhill;
using std::chrono::milliseconds;

namespace
{

struct learnt_case
{
    char const* story;
    /// Pairs of the client's estimate and the observed run time.
    std::vector<std::pair<milliseconds, milliseconds>> ends;
    milliseconds estimate;
    /// Expected values, compared with a tolerance of a tenth.
    milliseconds run_time;
    milliseconds work;
};

std::ostream& operator<<(std::ostream& to, learnt_case const& it)
{
    return to << it.story;
}

std::vector<std::pair<milliseconds, milliseconds>>
repeated(std::vector<std::pair<milliseconds, milliseconds>> const& it)
{
    std::vector<std::pair<milliseconds, milliseconds>> out;
    constexpr int times = 100;
    for (int n = 0; n < times; ++n)
    {
        out.insert(out.end(), it.begin(), it.end());
    }
    return out;
}

using ms = milliseconds;

learnt_case const learnt[] = {
    {"no observations: the estimate", {}, ms{4'000}, ms{4'000}, ms{4'000}},
    {"few observations change nothing",
     {{ms{1'000}, ms{8'000}}, {ms{4'000}, ms{8'000}}},
     ms{4'000},
     ms{4'000},
     ms{4'000}},
    {"accurate estimates are used",
     repeated({{ms{1'000}, ms{1'000}}, {ms{4'000}, ms{4'000}}}), ms{8'000},
     ms{8'000}, ms{8'000}},
    {"estimates without information: the mean",
     repeated({{ms{1'000}, ms{2'000}},
               {ms{4'000}, ms{2'000}},
               {ms{1'000}, ms{2'000}}}),
     ms{8'000}, ms{2'000}, ms{1'600}},
    {"slow instances add to the run, not to the work",
     repeated({{ms{1'000}, ms{1'250}}, {ms{4'000}, ms{5'000}}}), ms{2'000},
     ms{2'500}, ms{2'000}},
};

bool near(base::duration it, milliseconds wanted)
{
    constexpr double tolerance = 0.1;
    auto const off = base::seconds_of(it) / base::seconds_of(wanted) - 1;
    return off < tolerance && off > -tolerance;
}

} // namespace

BOOST_AUTO_TEST_SUITE(run_times)

/// Guards against a late job that could have started before others with time to
/// spare: its client had estimated twice the real run time, so it seemed to
/// have twice the time.
BOOST_DATA_TEST_CASE(estimates_count_as_far_as_they_were_accurate,
                     boost::unit_test::data::make(learnt))
{
    scheduler::run_times it;
    for (auto const& [estimate, ran] : sample.ends)
    {
        it.ended("q", estimate, ran);
    }
    BOOST_TEST(near(it.run_time("q", sample.estimate), sample.run_time));
    BOOST_TEST(near(it.work("q", sample.estimate), sample.work));
}

BOOST_AUTO_TEST_CASE(queues_are_learnt_separately)
{
    scheduler::run_times it;
    for (int n = 0; n < 100; ++n)
    {
        it.ended("q", ms{1'000}, ms{3'000});
    }
    BOOST_TEST(near(it.run_time("other", ms{1'000}), ms{1'000}));
}

BOOST_AUTO_TEST_SUITE_END()
