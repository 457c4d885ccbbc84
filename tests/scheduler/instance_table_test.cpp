#include <scheduler/instance_table.hpp>

#include <boost/test/unit_test.hpp>

#include <set>
#include <string>

using namespace berylhill;

namespace
{

constexpr std::size_t instances = 3'000;
constexpr std::size_t most = 600;

struct fixture
{
    fixture()
    {
        for (std::size_t n = 0; n < instances; ++n)
        {
            scheduler::instance_info info;
            info.id = "i-" + std::to_string(n);
            info.capacity.cpu_millis = static_cast<std::int64_t>(n % 7);
            book.list(info, base::instant{}, {});
        }
    }

    scheduler::instance_table book{{}, {}};
    std::size_t looks{0};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(instance_table, fixture)

/// Guards against examining all instances for each request: in a cell of 3,000
/// instances with some hundred requests a second that delayed the owner's other
/// work.
BOOST_AUTO_TEST_CASE(a_search_is_bounded_and_the_next_one_continues)
{
    std::set<std::string> seen;
    for (std::size_t n = 0; n < instances / most; ++n)
    {
        looks = 0;
        auto const found = book.select_by_free_cpu(most,
                                                   [&](auto const&)
                                                   {
                                                       ++looks;
                                                       return true;
                                                   });
        BOOST_TEST(looks == most);
        BOOST_TEST(found.front()->room().cpu_millis == 6);
        BOOST_TEST(found.back()->room().cpu_millis == 0);
        for (auto const* const it : found)
        {
            seen.insert(it->info().id);
        }
    }
    BOOST_TEST(seen.size() == instances);
}

/// All suitable instances are found even if there are few.
BOOST_AUTO_TEST_CASE(all_suitable_instances_are_found)
{
    auto const found = book.select_by_free_cpu(
        most, [](auto const& it)
        { return it.info().id == "i-2" || it.info().id == "i-9"; });
    BOOST_TEST(found.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
