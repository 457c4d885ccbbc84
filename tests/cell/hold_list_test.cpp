#include <cell/hold_list.hpp>

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace berylhill;

namespace
{

using standing = cell::hold_list::standing;

standing callable(std::string const&)
{
    return standing::callable;
}

constexpr std::size_t all = 10'000;

base::instant at_ms(int n)
{
    return base::instant{std::chrono::milliseconds{n}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(hold_list)

/// A cell of 3,000 instances: the owner spent its processor on walks over all
/// of them, hundreds a second, to find the few to ask again, and served nearly
/// nothing. All are asked; two answer; only those two are looked at.
BOOST_AUTO_TEST_CASE(only_instances_without_a_question_are_looked_at)
{
    constexpr int instances = 3'000;
    cell::hold_list it;
    for (int n = 0; n < instances; ++n)
    {
        it.add("i-" + std::to_string(n));
    }
    BOOST_TEST(it.take_due(at_ms(0), 0, all, callable).size() == instances);
    it.reported("i-7", at_ms(1), 0);
    it.reported("i-9", at_ms(1), 1);
    std::vector<std::string> looked;
    auto const due = it.take_due(at_ms(1), 0, all,
                                 [&](auto const& id)
                                 {
                                     looked.push_back(id);
                                     return standing::callable;
                                 });
    BOOST_TEST(due == std::vector<std::string>{"i-7"},
               boost::test_tools::per_element());
    BOOST_TEST(looked == (std::vector<std::string>{"i-7", "i-9"}),
               boost::test_tools::per_element());
}

/// An owner of 3,000 instances is lost, and users wait for seconds though
/// another one takes over at once: it asks all instances before it answers
/// anybody, so the others take it for lost too. It asks some at a time, first
/// those where work runs.
BOOST_AUTO_TEST_CASE(a_new_owner_asks_some_at_a_time)
{
    cell::hold_list it;
    for (auto const* const id : {"i-1", "i-2", "i-3", "i-4"})
    {
        it.add(id);
    }
    auto const standing_of = [](std::string const& id)
    {
        return id == "i-4" ? standing::holds_work : standing::callable;
    };
    BOOST_TEST(it.take_due(at_ms(0), 0, 2, standing_of) ==
                   (std::vector<std::string>{"i-4", "i-1"}),
               boost::test_tools::per_element());
    BOOST_TEST(it.take_due(at_ms(1), 0, 2, standing_of) ==
                   (std::vector<std::string>{"i-2", "i-3"}),
               boost::test_tools::per_element());
    BOOST_TEST(it.take_due(at_ms(2), 0, 2, standing_of).empty());
}

/// An instance that holds nothing rests; a start that is sent there must be
/// heard of at once when it ends.
BOOST_AUTO_TEST_CASE(a_start_ends_the_rest_of_an_instance)
{
    cell::hold_list it;
    it.add("i-1");
    BOOST_TEST(it.take_due(at_ms(0), 0, all, callable).size() == 1U);
    it.reported("i-1", at_ms(0), 0, std::chrono::seconds{4});
    BOOST_TEST(it.take_due(at_ms(3'999), 0, all, callable).empty());
    it.wake("i-1");
    BOOST_TEST(it.take_due(at_ms(3'999), 0, all, callable).size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_silent_instance_is_asked_again_after_its_pause)
{
    cell::hold_list it;
    it.add("i-1");
    BOOST_TEST(it.take_due(at_ms(0), 0, all, callable).size() == 1U);
    it.failed("i-1", at_ms(0));
    BOOST_TEST(it.take_due(at_ms(199), 0, all, callable).empty());
    BOOST_TEST(it.take_due(at_ms(200), 0, all, callable).size() == 1U);
}

/// Another's entry under a service that no queue goes to: once a queue does,
/// the instance is asked.
BOOST_AUTO_TEST_CASE(an_instance_is_asked_once_it_may_be)
{
    cell::hold_list it;
    it.add("i-1");
    BOOST_TEST(it.take_due(at_ms(0), 0, all,
                           [](auto const&) { return standing::not_callable; })
                   .empty());
    BOOST_TEST(it.take_due(at_ms(1), 0, all, callable).size() == 1U);
}

/// An instance goes while a question to it is under way, and its entry comes
/// back before the answer: it must not be asked twice at once, and must be
/// asked again.
BOOST_AUTO_TEST_CASE(an_instance_listed_again_is_asked_once)
{
    cell::hold_list it;
    it.add("i-1");
    BOOST_TEST(it.take_due(at_ms(0), 0, all, callable).size() == 1U);
    it.add("i-1");
    BOOST_TEST(it.take_due(at_ms(1), 0, all, callable).empty());
    it.failed("i-1", at_ms(2));
    BOOST_TEST(it.take_due(at_ms(300), 0, all,
                           [](auto const&) { return standing::gone; })
                   .empty());
    it.add("i-1");
    BOOST_TEST(it.take_due(at_ms(301), 0, all, callable).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
