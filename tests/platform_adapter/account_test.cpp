#include "cell_fixture.hpp"
#include "stand_ins/documents.hpp"
#include "stand_ins/ports.hpp"
#include "stand_ins/store_gate.hpp"

#include <platform/job_requests.hpp>
#include <platform/store_documents.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace berylhill;
using namespace berylhill::platform_test;

namespace
{

workload::cell_configuration configuration()
{
    workload::cell_configuration out;
    workload::queue_spec queue;
    queue.name = "q";
    queue.host = "h.example";
    queue.path_prefix = "/q/";
    out.queues = {queue};
    queue.path_prefix = "/open/";
    queue.callers = workload::caller_check::none;
    out.queues.push_back(queue);
    out.accounts = workload::account_table{
        {{"team", {"k1", "k2"}, 1, {}}, {"other", {"k3"}, 1, {}}}};
    return out;
}

struct key_case
{
    char const* name;
    std::string queue;
    std::vector<network::http_field> fields;
    /// 0: it makes a call, of this account.
    unsigned status;
    std::string account;
};

std::ostream& operator<<(std::ostream& to, key_case const& it)
{
    return to << it.name;
}

key_case const key_cases[] = {
    {"a key", "/q/", {{"X-Key", "k1"}}, 0, "team"},
    {"the account's second key", "/q/", {{"X-Key", "k2"}}, 0, "team"},
    {"the field in small letters", "/q/", {{"x-key", "k3"}}, 0, "other"},
    {"no key", "/q/", {}, 401, ""},
    {"an empty key", "/q/", {{"X-Key", ""}}, 401, ""},
    {"an unknown key", "/q/", {{"X-Key", "k4"}}, 401, ""},
    {"two fields", "/q/", {{"X-Key", "k1"}, {"X-Key", "k3"}}, 401, ""},
    {"a key of 10 kB", "/q/", {{"X-Key", std::string(10'240, 'k')}}, 401, ""},
    {"bytes that are no text", "/q/", {{"X-Key", "\xff\xfe"}}, 401, ""},
    {"an open queue, no key", "/open/", {}, 0, ""},
    {"an open queue, an unknown key", "/open/", {{"X-Key", "k4"}}, 0, ""},
    {"no such queue, no key", "/none/", {}, 404, ""},
};

constexpr char const* with_accounts =
    R"({"version":7,"routes":[{"name":"r","hostname":"h","pathPrefix":"/r/",)"
    R"("service":"s","authExempt":true}],"services":[],"limits":{},)"
    R"("tenants":[{"name":"team","apiKeys":["k1","k2"],"priority":1,)"
    R"("weight":39,"cap":{"cpu":4341692,"memMb":15602729,"gpu":0}}]})";

constexpr char const* team_key = "team-key";
constexpr char const* other_key = "other-key";

std::string accounts_document(int version, bool with_other)
{
    std::vector<account_keys> accounts{{"team", {team_key}}};
    if (with_other)
    {
        accounts.push_back({"other", {other_key}});
    }
    return configuration_document(version, {"q"}, accounts);
}

} // namespace

BOOST_AUTO_TEST_SUITE(account_requests)

/// Work is done for whoever asks: nobody looked at the keys.
BOOST_DATA_TEST_CASE(a_call_needs_the_key_of_an_account,
                     boost::unit_test::data::make(key_cases))
{
    network::http_request request{
        network::http_method::get, sample.queue, sample.fields, {}, {}};
    request.fields.push_back({"Host", "h.example"});
    auto const end = platform::job_requests{}.decode(request, configuration());
    auto const* const refused = std::get_if<cell::refused_request>(&end);
    BOOST_TEST((refused == nullptr ? 0U : refused->response.status) ==
               sample.status);
    if (auto const* const call = std::get_if<cell::job_call>(&end);
        call != nullptr)
    {
        BOOST_TEST(call->account == sample.account);
    }
    else
    {
        BOOST_TEST((refused->reason == cell::refusal_reason::configuration));
        BOOST_TEST(refused->key_digest.find('k') == std::string::npos);
    }
}

BOOST_AUTO_TEST_CASE(without_accounts_no_key_is_needed)
{
    auto without = configuration();
    without.accounts.reset();
    network::http_request const request{
        network::http_method::get, "/q/", {{"Host", "h.example"}}, {}, {}};
    auto const end = platform::job_requests{}.decode(request, without);
    BOOST_TEST(std::holds_alternative<cell::job_call>(end));
}

BOOST_AUTO_TEST_CASE(accounts_are_read_whole)
{
    platform::store_documents const reader;
    auto const read = base::capture(
        [&] { return reader.configuration("config", with_accounts); });
    BOOST_REQUIRE((read && read.value()));
    auto const& it = *read.value();
    BOOST_TEST((it.queues.at(0).callers == workload::caller_check::none));
    BOOST_REQUIRE(it.accounts.has_value());
    BOOST_TEST((it.accounts->all() ==
                std::vector<workload::account_spec>{
                    {"team", {"k1", "k2"}, 39, {4'341'692, 15'602'729, 0}}}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(account_path, cell_fixture)

BOOST_AUTO_TEST_CASE(an_account_sees_and_cancels_its_own_jobs_only)
{
    store->put(operators_topic, configuration_key, accounts_document(2, true));
    BOOST_REQUIRE(all_ready());
    BOOST_REQUIRE(run_until(
        [&] { return call(0, network::http_method::get, "/q/") == 401U; }));
    set_key(team_key);
    BOOST_TEST(submit(0, 1) == 200U);
    set_key(other_key);
    auto const* const path = "/q/0000000000000001";
    for (std::size_t n = 0; n < processes; ++n)
    {
        BOOST_TEST(call(n, network::http_method::get, path) == 403U);
        BOOST_TEST(call(n, network::http_method::remove, path) == 403U);
        BOOST_TEST(submit(n, 1) == 403U);
    }
    set_key(team_key);
    BOOST_TEST(run_until([&] { return completed(1, 1); }));
    set_key(other_key);
    for (std::size_t n = 0; n < processes; ++n)
    {
        BOOST_TEST(call(n, network::http_method::get, path) == 403U);
    }
}

/// A key that was taken away is served by a process that the store turns away,
/// and a key that was added is refused there: it goes by what it read last.
BOOST_AUTO_TEST_CASE(a_process_that_the_store_turns_away_follows_the_others)
{
    store_gate gate{loop, spare_address(), local(store_port())};
    store->put(operators_topic, configuration_key, accounts_document(2, true));
    BOOST_REQUIRE(run_until([&] { return ready(0) && ready(1) && ready(2); }));
    auto const owned = owner();
    BOOST_REQUIRE(owned.has_value());
    auto const cut = (*owned + 1) % processes;
    stop_process(cut);
    start_process(cut, spare_address().port);
    BOOST_REQUIRE(run_until([&] { return ready(cut); }));
    set_key(other_key);
    BOOST_TEST(run_until(
        [&] { return call(cut, network::http_method::get, "/q/") == 200U; }));
    gate.set_turning_away(true);
    store->put(operators_topic, configuration_key, accounts_document(3, false));
    BOOST_TEST(run_until(
        [&] { return call(cut, network::http_method::get, "/q/") == 401U; },
        std::chrono::seconds{3}));
    store->put(operators_topic, configuration_key, accounts_document(4, true));
    BOOST_TEST(run_until(
        [&] { return call(cut, network::http_method::get, "/q/") == 200U; },
        std::chrono::seconds{3}));
}

BOOST_AUTO_TEST_SUITE_END()
