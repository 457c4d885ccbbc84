#include "fake_log.hpp"

#include <cell/ownership.hpp>
#include <network/http_client.hpp>
#include <network/http_server.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <string>
#include <vector>

using namespace berylhill;
using namespace berylhill::cell_test;

namespace
{

struct quiet_listener final : cell::ownership::listener
{
    [[nodiscard]] cell::configuration_age configuration_here() const override
    {
        return {};
    }

    void on_configuration_reported(cell::configuration_age const&,
                                   base::instant,
                                   network::socket_address const&) override
    {
    }

    void on_list_end_reported(cell::log_end_age const&, base::instant) override
    {
    }

    void began(std::map<std::string, std::string> const&,
               std::uint64_t token,
               std::uint64_t) override
    {
        tokens.push_back(token);
    }
    void ended() override {}

    /// The token of each claim that was won.
    std::vector<std::uint64_t> tokens;
};

/// A process that has just started, with a log written by others.
struct fixture
{
    void run(std::chrono::milliseconds span)
    {
        loop.restart();
        loop.run_for(span);
    }

    /// Appends records of `jobs` jobs, a kilobyte each, and an owner's claim.
    void fill(std::size_t jobs, cell::owner_view const& claim)
    {
        constexpr std::size_t kilobyte = 1'024;
        for (std::size_t n = 0; n < jobs; ++n)
        {
            log.put({{"j:" + std::to_string(n), std::string(kilobyte, 'x')}});
        }
        log.put({{cell::owner_key, cell::text_of(claim)}});
    }

    static bool listens(network::http_server& it,
                        network::socket_address const& at)
    {
        return base::capture(
                   [&]() -> base::result<base::done>
                   {
                       BOOST_LEAF_CHECK(it.listen(at));
                       return base::done{};
                   })
            .has_value();
    }

    static std::uint16_t free_port()
    {
        boost::asio::io_context own;
        boost::asio::ip::tcp::acceptor acceptor{
            own, {boost::asio::ip::make_address_v4("127.0.0.1"), 0}};
        return acceptor.local_endpoint().port();
    }

    boost::asio::io_context loop;
    std::vector<network::responder> held;
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

/// Guards against processes that never find the owner after a full power loss:
/// each reads the records of all jobs to find the owner's claim, and on the
/// link of a small machine a page of them takes longer than the read timeout,
/// every time.
BOOST_AUTO_TEST_CASE(owner_is_found_on_a_link_too_slow_for_the_job_records)
{
    log.page = 1'000;
    log.link_bytes_per_s = 500'000;
    // Nothing listens at the address; the test only checks that it is known.
    fill(5'000, {77, "large", {"127.0.0.1", 2}, "other"});
    owner.start();
    run(std::chrono::milliseconds{200});
    BOOST_TEST(owner.owner().token == 77U);
    BOOST_TEST(owner.owner().instance == "large");
}

/// Guards against a chain of ownership changes after one machine restarts in a
/// cell of thousands of instances: a new owner answers only after 0.3 s, and
/// the restarted process knows no others to ask, considers the owner lost and
/// claims its work.
BOOST_AUTO_TEST_CASE(busy_owner_is_not_replaced_by_a_new_process)
{
    cell::owner_view const claim{2, "large", {"127.0.0.1", free_port()}, "it"};
    fill(1, claim);
    network::http_server busy{
        loop, [&](auto const&, network::responder answer)
        {
            auto timer = std::make_shared<boost::asio::steady_timer>(
                loop, std::chrono::milliseconds{300});
            timer->async_wait(
                [timer, claim, answer = std::move(answer)](auto)
                {
                    cell::watch_answer out;
                    out.owns = true;
                    out.owner = claim;
                    answer({200, {}, cell::text_of(out)});
                });
        }};
    BOOST_TEST_REQUIRE(listens(busy, claim.address));
    auto const before = log.appends;
    owner.start();
    run(std::chrono::milliseconds{1'500});
    BOOST_TEST(owner.owner_heard());
    BOOST_TEST(log.appends == before);
}

/// If nothing answers at all, the work is claimed within two seconds.
BOOST_AUTO_TEST_CASE(silent_owner_is_replaced_by_a_process_without_peers)
{
    cell::owner_view const claim{2, "large", {"127.0.0.1", free_port()}, "it"};
    fill(1, claim);
    network::http_server silent{loop, [&](auto const&, auto answer)
                                {
                                    held.push_back(std::move(answer));
                                }};
    BOOST_TEST_REQUIRE(listens(silent, claim.address));
    owner.start();
    run(std::chrono::milliseconds{3'000});
    BOOST_TEST(owner.owner().instance == "small");
    BOOST_TEST((owner.state() == cell::ownership_state::owning));
}

/// Guards against two claims of one process that both count: the first one had
/// no answer, was given up, and is stored while the second one is under way.
BOOST_AUTO_TEST_CASE(claim_that_is_stored_late_counts_once)
{
    constexpr std::size_t many = 10'000;
    log.append_behaviors.assign(many, fate::delay);
    owner.start();
    // A claim is given up after 2 s.
    run(std::chrono::milliseconds{2'600});
    BOOST_TEST((owner.state() == cell::ownership_state::claiming));
    log.deliver_late();
    log.append_behaviors.clear();
    run(std::chrono::milliseconds{1'500});
    BOOST_TEST((owner.state() == cell::ownership_state::owning));
    BOOST_TEST(listener.tokens == std::vector<std::uint64_t>{log.log.size()},
               boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
