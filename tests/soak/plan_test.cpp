#include <soak/plan.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>

using namespace berylhill::soak;

BOOST_AUTO_TEST_SUITE(soak_plan)

BOOST_AUTO_TEST_CASE(a_seed_always_gives_the_same_plan)
{
    constexpr std::chrono::seconds length{8};
    BOOST_TEST((plan_of(7, length) == plan_of(7, length)));
    BOOST_TEST((plan_of(7, length) != plan_of(8, length)));
}

BOOST_AUTO_TEST_CASE(every_kind_of_fault_comes_up)
{
    std::set<fault_kind> seen;
    for (std::uint64_t seed = 1; seed <= 50; ++seed)
    {
        auto const plan = plan_of(seed, std::chrono::seconds{8});
        BOOST_TEST(std::ranges::is_sorted(plan, {}, &fault::at));
        for (auto const& it : plan)
        {
            seen.insert(it.kind);
        }
    }
    BOOST_TEST(seen.size() == fault_kinds);
}

BOOST_AUTO_TEST_CASE(a_seed_always_gives_the_same_faults_of_orders)
{
    constexpr std::chrono::seconds length{8};
    BOOST_TEST((order_plan_of(7, length) == order_plan_of(7, length)));
    BOOST_TEST((order_plan_of(7, length) != order_plan_of(8, length)));
}

BOOST_AUTO_TEST_CASE(every_seed_has_rejections_and_late_orders)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed)
    {
        auto const plan = order_plan_of(seed, std::chrono::seconds{8});
        BOOST_TEST(std::ranges::is_sorted(plan, {}, &fault::at));
        std::set<fault_kind> seen;
        for (auto const& it : plan)
        {
            seen.insert(it.kind);
        }
        BOOST_TEST((seen == std::set{fault_kind::instance_rejects,
                                     fault_kind::orders_late}));
    }
}

BOOST_AUTO_TEST_SUITE_END()
