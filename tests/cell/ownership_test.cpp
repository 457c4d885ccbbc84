#include "fake_log.hpp"
#include "ownership_process.hpp"

#include <cell/ownership.hpp>
#include <network/http_client.hpp>
#include <network/http_server.hpp>

#include <boost/asio/steady_timer.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

using namespace berylhill;
using namespace berylhill::cell_test;

namespace
{

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

    boost::asio::io_context loop;
    std::vector<network::responder> held;
    base::system_clock clock;
    fake_log log{loop};
    network::http_client http{loop, {}};
    cell::peer_client peers{http};
    cell::store_latency latency;
    cell::store_contact store;
    recording_listener listener;
    cell::ownership owner{loop,
                          clock,
                          log,
                          peers,
                          latency,
                          store,
                          {"small", {"127.0.0.1", 1}, 120},
                          "incarnation",
                          listener};
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
    cell::owner_view const claim{2, "large", free_address(), "it"};
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
    cell::owner_view const claim{2, "large", free_address(), "it"};
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
    BOOST_REQUIRE(listener.takeovers.size() == 1U);
    BOOST_TEST(listener.takeovers.front().token == log.log.size());
}

/// Guards against a cell without an owner for seconds after all its processes
/// were killed: each reads the records of all jobs before it claims.
BOOST_AUTO_TEST_CASE(claim_does_not_wait_for_the_job_records)
{
    log.page = 1'000;
    log.link_bytes_per_s = 500'000;
    fill(5'000, {5'001, "former", free_address(), "other"});
    owner.start();
    run(std::chrono::milliseconds{900});
    BOOST_TEST((owner.state() == cell::ownership_state::restoring));
    BOOST_TEST(owner.owner().token == 5'002U);
    BOOST_TEST(log.log.size() == 5'002U);
    BOOST_TEST(owner.owner_heard());
    BOOST_TEST(!owner.owner_serves());
    BOOST_TEST(listener.takeovers.empty());
}

/// Guards against a store whose bandwidth goes into the same records for every
/// process of a cell that has lost all of them.
BOOST_AUTO_TEST_CASE(only_the_winner_of_a_claim_reads_the_records)
{
    constexpr int many = 12;
    log.page = 500;
    log.link_bytes_per_s = 4'000'000;
    fill(2'000, {2'001, "former", free_address(), "other"});
    std::vector<std::unique_ptr<ownership_process>> all;
    for (int n = 0; n < many; ++n)
    {
        all.push_back(std::make_unique<ownership_process>(
            loop, log, "process-" + std::to_string(n)));
        all.back()->owner.start();
    }
    run(std::chrono::milliseconds{2'000});
    std::size_t begun = 0;
    for (auto const& it : all)
    {
        begun += it->listener.takeovers.size();
        BOOST_TEST(it->owner.owner_heard());
    }
    BOOST_TEST(begun == 1U);
    BOOST_TEST(log.job_pages == 5U);
}

/// Guards against a takeover that never ends: a new owner sends requests to
/// thousands of instances, answers a watch after 0.6 s, and the next process
/// claims its work and begins with the same requests.
BOOST_DATA_TEST_CASE(an_owner_that_takes_over_may_answer_late,
                     boost::unit_test::data::make({false, true}),
                     taking_over)
{
    cell::owner_view const claim{2, "large", free_address(), "it"};
    fill(1, claim);
    // Another process, which does not answer.
    cell::peer const other{"other", free_address(), 500};
    auto delay = std::chrono::milliseconds{0};
    network::http_server busy{
        loop, [&](auto const&, network::responder answer)
        {
            auto timer =
                std::make_shared<boost::asio::steady_timer>(loop, delay);
            timer->async_wait(
                [timer, claim, other, taking_over,
                 answer = std::move(answer)](auto)
                {
                    cell::watch_answer out;
                    out.owns = true;
                    out.taking_over = taking_over;
                    out.owner = claim;
                    out.peers = {{other}, 1};
                    answer({200, {}, cell::text_of(out)});
                });
        }};
    BOOST_TEST_REQUIRE(listens(busy, claim.address));
    owner.start();
    run(std::chrono::milliseconds{300});
    BOOST_TEST(owner.owner_heard());
    delay = std::chrono::milliseconds{600};
    run(std::chrono::milliseconds{2'000});
    BOOST_TEST(owner.owner_heard() == taking_over);
}

/// Guards against a process that keeps the work though it can't read it.
BOOST_AUTO_TEST_CASE(claim_is_given_up_if_no_records_arrive)
{
    log.lose_job_pages = true;
    fill(10, {11, "former", free_address(), "other"});
    owner.start();
    run(std::chrono::milliseconds{2'000});
    BOOST_TEST((owner.state() == cell::ownership_state::restoring));
    run(std::chrono::milliseconds{3'500});
    BOOST_TEST(owner.released());
    BOOST_TEST(listener.ends == 1U);
    BOOST_TEST(listener.takeovers.empty());
    // Another process claims.
    log.put({{cell::owner_key, cell::text_of(cell::owner_view{
                                   13, "next", free_address(), ""})}});
    run(std::chrono::milliseconds{800});
    BOOST_TEST(owner.owner().token == 13U);
    BOOST_TEST(!owner.released());
}

/// Guards against hundreds of processes that all begin to read the log, since a
/// new owner names only the first few that watch it.
BOOST_DATA_TEST_CASE(only_a_process_that_is_named_becomes_a_standby,
                     boost::unit_test::data::make({false, true}),
                     named)
{
    cell::owner_view const claim{2, "large", free_address(), "it"};
    fill(1, claim);
    auto const self = cell::peer{"small", {"127.0.0.1", 1}, 120};
    network::http_server server{
        loop, [&](auto const&, network::responder answer)
        {
            cell::watch_answer out;
            out.owns = true;
            out.owner = claim;
            out.watchers = 1;
            out.peers = {
                {named ? self : cell::peer{"other", {"10.0.0.1", 1}, 500}}, 1};
            answer({200, {}, cell::text_of(out)});
        }};
    BOOST_TEST_REQUIRE(listens(server, claim.address));
    owner.start();
    run(std::chrono::milliseconds{300});
    BOOST_TEST(owner.owner_heard());
    BOOST_TEST((log.job_pages > 0) == named);
}

/// Guards against a process that calls a former owner for many seconds: it is
/// the last of hundreds in the succession, and the winner does not know it.
BOOST_AUTO_TEST_CASE(process_late_in_the_succession_finds_the_new_owner)
{
    constexpr int many = 200;
    cell::owner_view const former{2, "former", free_address(), "it"};
    cell::owner_view const next{3, "next", free_address(), "it"};
    fill(1, former);
    bool leaving = false;
    auto const answer_as = [&](cell::owner_view const& it)
    {
        cell::watch_answer out;
        out.owns = !leaving || it.token == next.token;
        out.leaving = !out.owns;
        out.owner = it;
        out.watchers = many;
        for (int n = 0; n < many; ++n)
        {
            out.peers.peers.push_back(
                {"p-" + std::to_string(n), {"127.0.0.1", 1}, 500});
        }
        out.peers.digest = 1;
        return out;
    };
    network::http_server first{
        loop, [&](auto const&, network::responder answer)
        {
            answer({200, {}, cell::text_of(answer_as(former))});
        }};
    network::http_server second{
        loop, [&](auto const&, network::responder answer)
        {
            answer({200, {}, cell::text_of(answer_as(next))});
        }};
    BOOST_TEST_REQUIRE(listens(first, former.address));
    BOOST_TEST_REQUIRE(listens(second, next.address));
    owner.start();
    run(std::chrono::milliseconds{200});
    BOOST_TEST(owner.owner_heard());
    leaving = true;
    run(std::chrono::milliseconds{100});
    BOOST_TEST((owner.state() == cell::ownership_state::claiming));
    log.put({{cell::owner_key, cell::text_of(next)}});
    run(std::chrono::milliseconds{1'000});
    BOOST_TEST(owner.owner().token == next.token);
    BOOST_TEST(owner.owner_heard());
}

/// Guards against processes that do nothing but claim, hundreds of times a
/// second, while the store rejects their claims for good.
BOOST_AUTO_TEST_CASE(rejected_claims_are_not_repeated_at_once)
{
    log.rejected_key = cell::owner_key;
    owner.start();
    run(std::chrono::milliseconds{1'500});
    BOOST_TEST(log.rejected_appends == 1U);
    log.rejected_key.clear();
    run(std::chrono::milliseconds{2'500});
    BOOST_TEST(owner.owner().instance == "small");
}

BOOST_AUTO_TEST_SUITE_END()
