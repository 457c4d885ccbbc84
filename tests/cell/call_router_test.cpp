#include "fake_log.hpp"
#include "printing.hpp"

#include <cell/call_router.hpp>
#include <cell/ownership.hpp>
#include <cell/peer_messages.hpp>
#include <cell/peer_paths.hpp>
#include <network/http_client.hpp>
#include <network/http_server.hpp>
#include <tests/support/run_until.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

using namespace berylhill;
using namespace berylhill::cell_test;
using cell::job_answer_kind;

namespace
{

/// An answer of the owner to the second send of a submission or cancellation;
/// the first one arrived and has no answer.
struct repeat_case
{
    char const* name;
    unsigned status;
    job_answer_kind answer;
    /// What the client is told.
    job_answer_kind outcome;
};

std::ostream& operator<<(std::ostream& to, repeat_case const& it)
{
    return to << it.name;
}

repeat_case const cases[] = {
    {"accepted", 200, job_answer_kind::accepted, job_answer_kind::accepted},
    {"refused", 200, job_answer_kind::refused,
     job_answer_kind::outcome_unknown},
    {"over the cap", 200, job_answer_kind::over_cap,
     job_answer_kind::outcome_unknown},
    {"too large", 200, job_answer_kind::too_large,
     job_answer_kind::outcome_unknown},
    {"no such key in a newer configuration", 200, job_answer_kind::no_key,
     job_answer_kind::outcome_unknown},
    {"no such queue in a newer configuration", 200, job_answer_kind::no_queue,
     job_answer_kind::outcome_unknown},
    // The owner knows the job, so it is another account's for all sends.
    {"forbidden", 200, job_answer_kind::forbidden, job_answer_kind::forbidden},
    {"no owner any more, by its answer", 200, job_answer_kind::not_owner,
     job_answer_kind::outcome_unknown},
    {"no owner any more, by its status",
     409,
     {},
     job_answer_kind::outcome_unknown},
    {"busy", 429, {}, job_answer_kind::outcome_unknown},
    {"not readable", 500, {}, job_answer_kind::outcome_unknown},
};

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
               cell::won_claim const&) override
    {
    }
    void claimed() override {}

    void ended() override {}
};

/// A process that passes calls on to an owner in another process, which holds
/// the calls or answers them as the case says.
struct fixture
{
    fixture()
    {
        network::server_limits limits;
        limits.body_bytes = 10'000;
        limits.header_bytes = 2'000;
        limits.request_time = std::chrono::seconds{2};
        limits.idle_time = std::chrono::seconds{5};
        limits.connections = 20;
        server.set_limits(limits);
        auto const end = base::capture(
            [&]() -> base::result<base::done>
            {
                BOOST_LEAF_CHECK(server.listen(claim.address));
                return base::done{};
            });
        BOOST_REQUIRE(end.has_value());
        log.put({{cell::owner_key, cell::text_of(claim)}});
        owner.start();
        BOOST_REQUIRE(run_until([&] { return owner.owner_heard(); }));
    }

    void handle(network::http_request const& it, network::responder answer)
    {
        if (it.target.starts_with(cell::peer_paths::watch))
        {
            cell::watch_answer out;
            out.owns = true;
            out.restoring = restoring;
            out.owner = claim;
            answer({200, {}, cell::text_of(out)});
            return;
        }
        ++calls;
        auto const sent =
            base::capture([&] { return cell::parse_job_call(it.body); });
        repeated = sent && sent.value().repeated;
        if (hold)
        {
            held.push_back(std::move(answer));
            return;
        }
        answer({status, {}, cell::text_of(cell::job_answer{kind, {}, 0, {}})});
    }

    template <class Done>
    bool run_until(Done done)
    {
        return test_support::run_until(loop, done, std::chrono::seconds{5});
    }

    void call(cell::job_call_kind what)
    {
        cell::job_call it;
        it.kind = what;
        it.queue = "a";
        it.job = {1};
        it.spec.id = {1};
        it.spec.queue = "a";
        it.timeout = std::chrono::milliseconds{700};
        outcome.reset();
        router.call(it,
                    [this](cell::call_outcome const& end)
                    {
                        outcome = end.answer.kind;
                        last = end;
                    });
    }

    /// Makes a call whose first send arrives on a connection that breaks before
    /// the answer; later sends get this answer.
    void repeat(cell::job_call_kind what,
                unsigned with_status,
                job_answer_kind answer)
    {
        call(cell::job_call_kind::status);
        BOOST_REQUIRE(run_until([&] { return outcome.has_value(); }));
        hold = true;
        status = with_status;
        kind = answer;
        call(what);
        BOOST_REQUIRE(run_until([&] { return held.size() == 1; }));
        hold = false;
        server.close_connections();
        BOOST_REQUIRE(run_until([&] { return outcome.has_value(); }));
    }

    static std::uint16_t free_port()
    {
        boost::asio::io_context own;
        boost::asio::ip::tcp::acceptor acceptor{
            own, {boost::asio::ip::make_address_v4("127.0.0.1"), 0}};
        return acceptor.local_endpoint().port();
    }

    boost::asio::io_context loop;
    cell::owner_view claim{1, "other", {"127.0.0.1", free_port()}, "it"};
    bool restoring{false};
    bool hold{false};
    unsigned status{200};
    job_answer_kind kind{job_answer_kind::accepted};
    std::size_t calls{0};
    /// Whether the last call said that an earlier send may have arrived.
    bool repeated{false};
    std::vector<network::responder> held;
    std::optional<job_answer_kind> outcome;
    cell::call_outcome last;
    network::http_server server{loop, [this](auto const& it, auto answer)
                                {
                                    handle(it, std::move(answer));
                                }};
    base::system_clock clock;
    fake_log log{loop};
    network::http_client http{loop, {}};
    cell::peer_client peers{http};
    cell::store_latency latency;
    cell::store_contact store;
    quiet_listener listener;
    cell::ownership owner{loop,
                          clock,
                          log,
                          peers,
                          latency,
                          store,
                          {"self", {"127.0.0.1", 1}, 120},
                          "incarnation",
                          listener};
    cell::call_router router{loop, clock, peers, owner,
                             [](auto const&, auto const&)
                             {
                                 return false;
                             }};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(call_router, fixture)

/// Guards against a job that is refused and runs: a submission arrived on a
/// connection that broke, was sent again on a new one, and the answer to the
/// second send was told to the client as the outcome of both.
BOOST_DATA_TEST_CASE(a_refusal_of_a_repeated_call_leaves_the_first_open,
                     boost::unit_test::data::make(cases) *
                         boost::unit_test::data::make({false, true}),
                     sample,
                     cancels)
{
    repeat(cancels ? cell::job_call_kind::cancel : cell::job_call_kind::submit,
           sample.status, sample.answer);
    BOOST_TEST(calls > 2U);
    BOOST_TEST((*outcome == sample.outcome));
    BOOST_TEST(last.sends > 1U);
    BOOST_TEST(last.send_unresolved);
    BOOST_TEST(last.token == claim.token);
}

/// A client that cancels again needs no answer of the first send: there is no
/// such job.
BOOST_AUTO_TEST_CASE(a_repeated_cancellation_of_no_job_is_told)
{
    repeat(cell::job_call_kind::cancel, 200, job_answer_kind::unknown_job);
    BOOST_TEST((*outcome == job_answer_kind::unknown_job));
}

/// A read holds for itself, however often it was sent.
BOOST_DATA_TEST_CASE(an_answer_to_a_repeated_read_is_told,
                     boost::unit_test::data::make({job_answer_kind::phase,
                                                   job_answer_kind::unknown_job,
                                                   job_answer_kind::no_key,
                                                   job_answer_kind::no_queue,
                                                   job_answer_kind::forbidden}),
                     answer)
{
    repeat(cell::job_call_kind::status, 200, answer);
    BOOST_TEST((*outcome == answer));
}

/// Guards against an owner that cannot tell a repeated submission from a new
/// one, and judges a stored job by a newer configuration.
BOOST_AUTO_TEST_CASE(an_owner_is_told_that_a_call_is_repeated)
{
    repeat(cell::job_call_kind::submit, 200, job_answer_kind::no_key);
    BOOST_TEST(repeated);
    BOOST_TEST((last.owner_answer == job_answer_kind::no_key));
    kind = job_answer_kind::accepted;
    call(cell::job_call_kind::submit);
    BOOST_REQUIRE(run_until([&] { return outcome.has_value(); }));
    BOOST_TEST(!repeated);
}

/// A call that was sent once is rejected as its owner says.
BOOST_DATA_TEST_CASE(a_refusal_of_the_only_send_is_told,
                     boost::unit_test::data::make(
                         {job_answer_kind::refused, job_answer_kind::over_cap,
                          job_answer_kind::too_large, job_answer_kind::no_key,
                          job_answer_kind::no_queue, job_answer_kind::forbidden,
                          job_answer_kind::unknown_job}),
                     answer)
{
    kind = answer;
    call(cell::job_call_kind::submit);
    BOOST_REQUIRE(run_until([&] { return outcome.has_value(); }));
    BOOST_TEST((*outcome == answer));
    BOOST_TEST(last.sends == 1U);
    BOOST_TEST(!last.send_unresolved);
    BOOST_TEST((last.source == cell::answer_source::owner));
}

/// Guards against hundreds of processes that send all their calls to a new
/// owner again and again while it reads its records and can only refuse them.
BOOST_AUTO_TEST_CASE(an_owner_gets_no_calls_before_it_has_read_its_records)
{
    restoring = true;
    BOOST_REQUIRE(run_until([&] { return !owner.owner_serves(); }));
    BOOST_TEST(owner.owner_heard());
    call(cell::job_call_kind::submit);
    loop.restart();
    loop.run_for(std::chrono::milliseconds{100});
    BOOST_TEST(calls == 0U);
    restoring = false;
    BOOST_REQUIRE(run_until([&] { return outcome.has_value(); }));
    BOOST_TEST((*outcome == job_answer_kind::accepted));
}

BOOST_AUTO_TEST_SUITE_END()
