#include <cell/peer_list.hpp>
#include <cell/peer_messages.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <ostream>
#include <string>
#include <vector>

using namespace berylhill;

namespace
{

cell::peer process(int n, std::int64_t millicores)
{
    return {"p-" + std::to_string(n),
            {"10.0.0." + std::to_string(n % 200), 7'000},
            millicores};
}

/// The larger ones have the higher numbers.
std::vector<cell::peer> processes(int count)
{
    std::vector<cell::peer> out;
    out.reserve(static_cast<std::size_t>(count));
    for (int n = 0; n < count; ++n)
    {
        out.push_back(process(n, 100 + n));
    }
    return out;
}

struct asker_case
{
    char const* name;
    int asker;
    std::size_t named;
};

std::ostream& operator<<(std::ostream& to, asker_case const& it)
{
    return to << it.name;
}

asker_case const askers[] = {
    {"the first standby", 299, 300},
    {"the second standby", 298, 300},
    {"the first that does not stand by", 297, 64},
    {"the last", 0, 64},
};

struct wait_case
{
    std::size_t watchers;
    int ms;
};

std::ostream& operator<<(std::ostream& to, wait_case const& it)
{
    return to << it.watchers;
}

wait_case const waits[] = {{0, 250}, {100, 250}, {300, 750}, {2'700, 1'000}};

} // namespace

BOOST_AUTO_TEST_SUITE(peer_list)

/// Users of a cell of 300 processes get no answers: each process watches the
/// owner four times a second, each answer names all processes, and 27 MB a
/// second do not fit the owner's link. Those who stand by know all, the others
/// the first of the succession.
BOOST_DATA_TEST_CASE(who_stands_by_knows_all,
                     boost::unit_test::data::make(askers))
{
    cell::peer_list it;
    it.set(processes(300));
    auto const& known = it.known_to(process(sample.asker, 100 + sample.asker));
    BOOST_TEST(known.peers.size() == sample.named);
    BOOST_TEST(known.peers.front().instance == "p-299");
}

/// A list that has not changed is not sent again, whatever the order in which
/// the processes came; one that has changed is.
BOOST_AUTO_TEST_CASE(a_digest_tells_whether_the_list_has_changed)
{
    cell::peer_list it;
    auto const asker = process(0, 100);
    BOOST_TEST(it.known_to(asker).digest == 0);
    auto all = processes(5);
    it.set(all);
    auto const first = it.known_to(asker).digest;
    BOOST_TEST(first != 0);
    std::ranges::reverse(all);
    it.set(all);
    BOOST_TEST(it.known_to(asker).digest == first);
    all.pop_back();
    it.set(all);
    BOOST_TEST(it.known_to(asker).digest != first);
}

BOOST_DATA_TEST_CASE(watches_are_bounded_in_a_large_cell,
                     boost::unit_test::data::make(waits))
{
    BOOST_TEST((cell::watch_wait(sample.watchers) ==
                std::chrono::milliseconds{sample.ms}));
}

/// A process of the version before names no digest, and one of this version
/// may ask an owner that sends none.
BOOST_AUTO_TEST_CASE(a_watch_is_read_from_both_versions)
{
    auto const old = base::capture(
        [&]
        {
            return cell::parse_watch_question(
                R"({"instance":"a","address":"10.0.0.1:7","millicores":5})");
        });
    BOOST_REQUIRE(old.has_value());
    BOOST_TEST(old.value().from.instance == "a");
    BOOST_TEST(old.value().known == 0);
    cell::watch_question const now{process(1, 100), 77, {3, base::duration{5}}};
    auto const read = base::capture(
        [&] { return cell::parse_watch_question(cell::text_of(now)); });
    BOOST_TEST((read.has_value() && read.value() == now));
}

BOOST_AUTO_TEST_SUITE_END()
