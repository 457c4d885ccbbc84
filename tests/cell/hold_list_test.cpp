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
    BOOST_TEST(it.take_due(at_ms(0), 0, callable).size() == instances);
    it.reported("i-7", at_ms(1), 0);
    it.reported("i-9", at_ms(1), 1);
    std::vector<std::string> looked;
    auto const due = it.take_due(at_ms(1), 0,
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

BOOST_AUTO_TEST_CASE(a_silent_instance_is_asked_again_after_its_pause)
{
    cell::hold_list it;
    it.add("i-1");
    BOOST_TEST(it.take_due(at_ms(0), 0, callable).size() == 1U);
    it.failed("i-1", at_ms(0));
    BOOST_TEST(it.take_due(at_ms(199), 0, callable).empty());
    BOOST_TEST(it.take_due(at_ms(200), 0, callable).size() == 1U);
}

/// Another's entry under a service that no queue goes to: once a queue does,
/// the instance is asked.
BOOST_AUTO_TEST_CASE(an_instance_is_asked_once_it_may_be)
{
    cell::hold_list it;
    it.add("i-1");
    BOOST_TEST(it.take_due(at_ms(0), 0,
                           [](auto const&) { return standing::not_callable; })
                   .empty());
    BOOST_TEST(it.take_due(at_ms(1), 0, callable).size() == 1U);
}

/// An instance goes while a question to it is under way, and its entry comes
/// back before the answer: it must not be asked twice at once, and must be
/// asked again.
BOOST_AUTO_TEST_CASE(an_instance_listed_again_is_asked_once)
{
    cell::hold_list it;
    it.add("i-1");
    BOOST_TEST(it.take_due(at_ms(0), 0, callable).size() == 1U);
    it.add("i-1");
    BOOST_TEST(it.take_due(at_ms(1), 0, callable).empty());
    it.failed("i-1", at_ms(2));
    BOOST_TEST(
        it.take_due(at_ms(300), 0, [](auto const&) { return standing::gone; })
            .empty());
    it.add("i-1");
    BOOST_TEST(it.take_due(at_ms(301), 0, callable).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
