#include "server_fixture.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace berylhill;
using network::call_end;

namespace
{

/// What becomes of the connection before the call that has to go over it.
enum class meanwhile : std::uint8_t
{
    nothing,
    used_by_another_call,
    closed,
    closed_and_another_opened,
    broken_by_the_call,
};

struct choice_case
{
    char const* name;
    meanwhile event;
    call_end end;
    /// How many requests the server reads, the first one included.
    std::size_t requests;
};

std::ostream& operator<<(std::ostream& to, choice_case const& it)
{
    return to << it.name;
}

choice_case const choices[] = {
    {"the connection is idle", meanwhile::nothing, call_end::answered, 2},
    {"calls without a choice don't use it", meanwhile::used_by_another_call,
     call_end::answered, 4},
    {"it was closed", meanwhile::closed, call_end::not_sent, 1},
    {"it was closed, and a new one is open",
     meanwhile::closed_and_another_opened, call_end::not_sent, 2},
    {"it breaks before the answer", meanwhile::broken_by_the_call,
     call_end::unanswered, 2},
};

class choice_fixture : public network_test::server_fixture
{
public:
    network::call_result reserved_call(std::uint64_t only)
    {
        std::optional<network::call_result> out;
        client.call_over({true, only}, address, request(),
                         std::chrono::seconds{2},
                         [&](network::call_result const& end) { out = end; });
        run_until(
            [&]
            {
                if (!held.empty())
                {
                    held.clear();
                    server.close_connections();
                }
                return out.has_value();
            });
        return out.value_or(network::call_result{});
    }

    void pass(meanwhile it)
    {
        switch (it)
        {
        case meanwhile::nothing:
            return;
        case meanwhile::used_by_another_call:
            BOOST_TEST((call(request())->end == call_end::answered));
            BOOST_TEST((call(request())->end == call_end::answered));
            return;
        case meanwhile::closed:
            close_connections();
            return;
        case meanwhile::closed_and_another_opened:
            close_connections();
            BOOST_TEST((reserved_call(0).end == call_end::answered));
            return;
        case meanwhile::broken_by_the_call:
            hold = true;
            return;
        }
    }

private:
    static network::http_request request()
    {
        return {network::http_method::post, "/", {}, "body", "text/plain"};
    }

    void close_connections()
    {
        server.close_connections();
        run_until([&] { return server.connections() == 0; });
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(connection_choice)

/// Guards against a request that reaches another process than the one at whose
/// connection it was meant to arrive.
BOOST_DATA_TEST_CASE(call_goes_over_its_connection_or_not_at_all,
                     boost::unit_test::data::make(choices))
{
    choice_fixture it;
    BOOST_REQUIRE(it.listening);
    auto const first = it.reserved_call(0);
    BOOST_REQUIRE((first.end == call_end::answered));
    BOOST_REQUIRE(first.connection != 0U);
    it.pass(sample.event);
    auto const then = it.reserved_call(first.connection);
    BOOST_TEST((then.end == sample.end));
    BOOST_TEST(then.connection ==
               (sample.end == call_end::answered ? first.connection : 0U));
    BOOST_TEST(it.requests == sample.requests);
}

BOOST_AUTO_TEST_SUITE_END()
