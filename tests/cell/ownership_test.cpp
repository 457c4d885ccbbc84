#include "fake_log.hpp"

#include <cell/ownership.hpp>
#include <network/http_client.hpp>

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <string>

using namespace berylhill;
using namespace berylhill::cell_test;

namespace
{

struct quiet_listener final : cell::ownership::listener
{
    void began(std::map<std::string, std::string> const&,
               std::uint64_t,
               std::uint64_t) override
    {
    }
    void ended() override {}
};

/// A process that has just started, beside a log that others have written.
struct fixture
{
    void run(std::chrono::milliseconds span)
    {
        loop.restart();
        loop.run_for(span);
    }

    /// The records of as many jobs, each of a kilobyte, and an owner's claim.
    void fill(std::size_t jobs, cell::owner_view const& claim)
    {
        constexpr std::size_t kilobyte = 1'024;
        for (std::size_t n = 0; n < jobs; ++n)
        {
            log.put({{"j:" + std::to_string(n), std::string(kilobyte, 'x')}});
        }
        log.put({{cell::owner_key, cell::text_of(claim)}});
    }

    boost::asio::io_context loop;
    base::system_clock clock;
    fake_log log{loop};
    network::http_client http{loop, {}};
    cell::peer_client peers{http};
    cell::store_latency latency;
    quiet_listener listener;
    cell::ownership owner{loop,          clock,
                          log,           peers,
                          latency,       {"small", {"127.0.0.1", 1}, 120},
                          "incarnation", listener};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ownership, fixture)

/// After a loss of all power users get no answer about their jobs for good,
/// though the cell has an owner again: each machine reads the records of all
/// jobs to find the owner's among them. A page of these takes longer on the
/// link of a small machine than the read may take, each time.
BOOST_AUTO_TEST_CASE(the_owner_is_found_on_a_link_too_slow_for_the_jobs)
{
    log.page = 1'000;
    log.link_bytes_per_s = 500'000;
    // Nobody answers at the address: what is tested is that it is known.
    fill(5'000, {77, "large", {"127.0.0.1", 2}, "other"});
    owner.start();
    run(std::chrono::milliseconds{200});
    BOOST_TEST(owner.owner().token == 77U);
    BOOST_TEST(owner.owner().instance == "large");
}

BOOST_AUTO_TEST_SUITE_END()
