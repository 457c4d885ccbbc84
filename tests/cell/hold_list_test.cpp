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

/// Guards against an owner of 3,000 instances that uses up its processor by
/// walking over all of them hundreds of times a second. All have a request in
/// flight; two answer, and only those two are examined.
BOOST_AUTO_TEST_CASE(only_instances_without_a_request_are_examined)
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

/// Guards against a new owner of 3,000 instances that sends requests to all of
/// them before it answers anybody, so that other processes consider it lost
/// too. It sends a few at a time, first to instances with running work.
BOOST_AUTO_TEST_CASE(new_owner_sends_a_few_requests_at_a_time)
{
    cell::hold_list it;
    for (auto const* const id : {"i-1", "i-2", "i-3", "i-4"})
    {
        it.add(id);
    }
    auto const status_of = [](std::string const& id)
    {
        return id == "i-4" ? standing::holds_work : standing::callable;
    };
    BOOST_TEST(it.take_due(at_ms(0), 0, 2, status_of) ==
                   (std::vector<std::string>{"i-4", "i-1"}),
               boost::test_tools::per_element());
    BOOST_TEST(it.take_due(at_ms(1), 0, 2, status_of) ==
                   (std::vector<std::string>{"i-2", "i-3"}),
               boost::test_tools::per_element());
    BOOST_TEST(it.take_due(at_ms(2), 0, 2, status_of).empty());
}

/// The end of a task that was started during an instance's rest must be
/// reported at once.
BOOST_AUTO_TEST_CASE(start_ends_the_rest_of_an_instance)
{
    cell::hold_list it;
    it.add("i-1");
    BOOST_TEST(it.take_due(at_ms(0), 0, all, callable).size() == 1U);
    it.reported("i-1", at_ms(0), 0, std::chrono::seconds{4});
    BOOST_TEST(it.take_due(at_ms(3'999), 0, all, callable).empty());
    it.wake("i-1");
    BOOST_TEST(it.take_due(at_ms(3'999), 0, all, callable).size() == 1U);
}

BOOST_AUTO_TEST_CASE(failed_request_is_retried_after_a_pause)
{
    cell::hold_list it;
    it.add("i-1");
    BOOST_TEST(it.take_due(at_ms(0), 0, all, callable).size() == 1U);
    it.failed("i-1", at_ms(0));
    BOOST_TEST(it.take_due(at_ms(199), 0, all, callable).empty());
    BOOST_TEST(it.take_due(at_ms(200), 0, all, callable).size() == 1U);
}

/// An entry of a service that no queue uses becomes callable once a queue uses
/// the service.
BOOST_AUTO_TEST_CASE(instance_is_asked_once_it_is_callable)
{
    cell::hold_list it;
    it.add("i-1");
    BOOST_TEST(it.take_due(at_ms(0), 0, all,
                           [](auto const&) { return standing::not_callable; })
                   .empty());
    BOOST_TEST(it.take_due(at_ms(1), 0, all, callable).size() == 1U);
}

/// An instance is removed while a request to it is in flight, and listed again
/// before the answer: it must not get two requests at once, and must get
/// another one later.
BOOST_AUTO_TEST_CASE(relisted_instance_gets_one_request)
{
    cell::hold_list it;
    it.add("i-1");
    BOOST_TEST(it.take_due(at_ms(0), 0, all, callable).size() == 1U);
    it.add("i-1");
    BOOST_TEST(it.take_due(at_ms(1), 0, all, callable).empty());
    it.failed("i-1", at_ms(2));
    BOOST_TEST(it.take_due(at_ms(300), 0, all,
                           [](auto const&) { return standing::unknown; })
                   .empty());
    it.add("i-1");
    BOOST_TEST(it.take_due(at_ms(301), 0, all, callable).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
