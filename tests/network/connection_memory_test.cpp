#include <network/connection_memory.hpp>

#include <boost/test/unit_test.hpp>

using namespace berylhill;

namespace
{

struct fake_holder final : network::connection_memory::holder
{
    void give_way() override
    {
        gone = true;
    }

    bool gone{false};
};

struct fixture
{
    fixture()
    {
        memory.set_limit(limit);
    }

    static constexpr std::size_t limit = 100;
    network::connection_memory memory;
    fake_holder large;
    fake_holder small;
    fake_holder other;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(connection_memory, fixture)

BOOST_AUTO_TEST_CASE(the_largest_unfinished_request_gives_way)
{
    memory.set_reading(large, 60);
    memory.set_reading(small, 20);
    BOOST_TEST(!large.gone);
    memory.set_reading(other, 30);
    BOOST_TEST(large.gone);
    BOOST_TEST(!small.gone);
    BOOST_TEST(!other.gone);
    BOOST_TEST(memory.held() == 50U);
}

/// Guards against a request that was read whole and gets no answer.
BOOST_AUTO_TEST_CASE(a_request_that_is_answered_never_gives_way)
{
    BOOST_TEST(memory.set_answering(large, 50));
    memory.set_reading(small, 60);
    BOOST_TEST(!large.gone);
    BOOST_TEST(small.gone);
    BOOST_TEST(memory.held() == 50U);
}

BOOST_AUTO_TEST_CASE(whole_requests_take_their_share_at_most)
{
    BOOST_TEST(memory.set_answering(large, 40));
    BOOST_TEST(!memory.set_answering(small, 11));
    BOOST_TEST(memory.set_answering(other, 10));
    memory.release(large);
    BOOST_TEST(memory.set_answering(small, 11));
}

/// Guards against a single request within the limits that is never served.
BOOST_AUTO_TEST_CASE(one_alone_is_answered_whatever_it_takes)
{
    BOOST_TEST(memory.set_answering(large, 500));
    BOOST_TEST(!memory.set_answering(small, 1));
}

BOOST_AUTO_TEST_SUITE_END()
