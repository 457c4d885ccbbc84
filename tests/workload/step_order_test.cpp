#include <workload/step_order.hpp>

#include <workload/validation.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <ostream>

using namespace berylhill;

namespace
{

using indices = std::vector<std::uint32_t>;

struct order_case
{
    char const* name;
    /// What each step depends on.
    std::vector<indices> steps;
    bool ordered;
};

std::ostream& operator<<(std::ostream& to, order_case const& it)
{
    return to << it.name;
}

order_case const orders[] = {
    {"no steps", {}, true},
    {"steps by themselves", {{}, {}}, true},
    {"a chain", {{}, {0}, {1}}, true},
    {"a chain in reverse", {{1}, {2}, {}}, true},
    {"a step that names another one twice", {{}, {0, 0}}, true},
    {"two ways to one step", {{}, {0}, {0}, {1, 2}}, true},
    {"itself", {{0}}, false},
    {"a cycle behind a chain", {{}, {0, 2}, {1}}, false},
};

std::vector<workload::step_spec>
steps_of(std::vector<indices> const& dependencies)
{
    std::vector<workload::step_spec> out(dependencies.size());
    for (std::size_t n = 0; n < out.size(); ++n)
    {
        out[n].tasks = 1;
        out[n].depends_on = dependencies[n];
    }
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(step_order)

BOOST_DATA_TEST_CASE(each_step_comes_after_what_it_depends_on,
                     boost::unit_test::data::make(orders))
{
    auto const steps = steps_of(sample.steps);
    auto const out = workload::order_of_steps(steps);
    BOOST_REQUIRE(out.has_value() == sample.ordered);
    if (!out)
    {
        return;
    }
    BOOST_TEST(out->size() == steps.size());
    for (std::uint32_t n = 0; n < steps.size(); ++n)
    {
        auto const at = std::ranges::find(*out, n);
        for (auto const before : steps[n].depends_on)
        {
            BOOST_TEST((std::ranges::find(*out, before) < at));
        }
    }
}

/// Guards against one request that keeps a process busy: each step depends on
/// the next one, and the time grew with the square of their number. At this
/// size it would take hours.
BOOST_AUTO_TEST_CASE(a_long_chain_is_ordered_in_one_pass)
{
    constexpr std::uint32_t length = 1'000'000;
    std::vector<indices> chain(length);
    for (std::uint32_t n = 0; n + 1 < length; ++n)
    {
        chain[n] = {n + 1};
    }
    BOOST_TEST(workload::order_of_steps(steps_of(chain)).has_value());
}

/// Guards against answers of megabytes to small requests.
BOOST_AUTO_TEST_CASE(a_job_that_is_wrong_everywhere_has_few_findings)
{
    constexpr std::size_t steps = 10'000;
    constexpr std::size_t most_text = 1'024;
    workload::job_spec job;
    job.steps.resize(steps);
    auto const found = workload::check(job);
    BOOST_TEST(!found.empty());
    BOOST_TEST(found.text().size() < most_text);
}

BOOST_AUTO_TEST_SUITE_END()
