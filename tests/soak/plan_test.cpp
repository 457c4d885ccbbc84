#include <base/hash.hpp>
#include <soak/plan.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <ostream>
#include <set>
#include <sstream>

using namespace berylhill::soak;

namespace
{

using plan_function = std::vector<fault> (*)(std::uint64_t,
                                             std::chrono::milliseconds);

struct plan_case
{
    char const* name;
    plan_function plan;
    /// Of the plans of the seeds 1 to 50.
    std::uint64_t digest;
};

std::ostream& operator<<(std::ostream& to, plan_case const& it)
{
    return to << it.name;
}

std::uint64_t digest_of(plan_function plan)
{
    constexpr std::uint64_t seeds = 50;
    std::ostringstream text;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        for (auto const& it : plan(seed, std::chrono::seconds{8}))
        {
            text << it.at.count() << ' ' << it.length.count() << ' '
                 << name_of(it.kind) << ' ' << it.target << '\n';
        }
    }
    return berylhill::base::hash_of(text.str());
}

plan_case const plan_cases[] = {
    {"all modes", plan_of, 17471926006679473002U},
    {"orders", order_plan_of, 4573663074486923376U},
    {"keys", key_plan_of, 6378140804097283246U},
    {"lives", life_plan_of, 9400850602368523475U},
    {"store", store_plan_of, 8676680649804888980U},
    {"islands", island_plan_of, 17376928686754483051U},
    {"moves", move_plan_of, 11604399549716850893U},
};

} // namespace

BOOST_AUTO_TEST_SUITE(soak_plan)

// Guards against seeds of old runs that no longer give the same faults.
BOOST_DATA_TEST_CASE(plans_of_seeds_do_not_change,
                     boost::unit_test::data::make(plan_cases),
                     it)
{
    BOOST_TEST(digest_of(it.plan) == it.digest);
}

BOOST_AUTO_TEST_CASE(a_seed_always_gives_the_same_faults_of_keys)
{
    constexpr std::chrono::seconds length{8};
    BOOST_TEST((key_plan_of(7, length) == key_plan_of(7, length)));
    BOOST_TEST((key_plan_of(7, length) != key_plan_of(8, length)));
}

// Guards against seeds in which nothing overlaps.
BOOST_AUTO_TEST_CASE(every_seed_kills_owners_beside_revoked_keys)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed)
    {
        auto const plan = key_plan_of(seed, std::chrono::seconds{8});
        BOOST_TEST(std::ranges::is_sorted(plan, {}, &fault::at));
        auto const count = [&](fault_kind kind)
        {
            return std::ranges::count(plan, kind, &fault::kind);
        };
        BOOST_TEST(count(fault_kind::revoke_key) >= 16);
        BOOST_TEST(count(fault_kind::kill_owner) >= 3);
        BOOST_TEST(count(fault_kind::kill) >= 1);
        BOOST_TEST(count(fault_kind::store_loses_answers) >= 1);
    }
}

// Guards against spells that end each other, or are too short to be judged.
BOOST_AUTO_TEST_CASE(processes_are_turned_away_one_spell_after_the_other)
{
    std::set<std::size_t> manners;
    for (std::uint64_t seed = 1; seed <= 50; ++seed)
    {
        auto const plan = store_plan_of(seed, std::chrono::seconds{8});
        BOOST_TEST(!plan.empty());
        std::chrono::milliseconds over{0};
        for (auto const& it : plan)
        {
            BOOST_TEST((it.kind == fault_kind::store_turns_away));
            BOOST_TEST((it.at - over >= std::chrono::seconds{1}));
            BOOST_TEST((it.length >= std::chrono::seconds{3}));
            over = it.at + it.length;
            manners.insert(it.target % 3);
        }
    }
    BOOST_TEST(manners.size() == 3U);
}

// Guards against islands that end each other, and against seeds of which none
// outlasts a lease and the wait of the next owner.
BOOST_AUTO_TEST_CASE(islands_follow_one_another)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed)
    {
        auto plan = island_plan_of(seed, std::chrono::seconds{40});
        BOOST_TEST(std::ranges::count(plan, fault_kind::instance_crash,
                                      &fault::kind) >= 3);
        std::erase_if(plan, [](fault const& it)
                      { return it.kind != fault_kind::island; });
        BOOST_TEST(plan.size() >= 2U);
        std::chrono::milliseconds over{0};
        std::chrono::milliseconds longest{0};
        for (auto const& it : plan)
        {
            BOOST_TEST((it.at - over >= std::chrono::seconds{2}));
            BOOST_TEST((it.length >= std::chrono::seconds{4}));
            BOOST_TEST((it.length <= std::chrono::seconds{13}));
            over = it.at + it.length;
            longest = std::max(longest, it.length);
        }
        BOOST_TEST((longest >= std::chrono::seconds{6}));
    }
}

// Guards against seeds in which no instance starts again.
BOOST_AUTO_TEST_CASE(every_seed_has_several_lives)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed)
    {
        auto const plan = life_plan_of(seed, std::chrono::seconds{8});
        BOOST_TEST(plan.size() >= 3U);
        BOOST_TEST(std::ranges::count(plan, fault_kind::instance_crash,
                                      &fault::kind) == std::ssize(plan));
    }
}

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
