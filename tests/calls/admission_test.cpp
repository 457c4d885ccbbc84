#include "fixtures.hpp"

#include <calls/admission.hpp>
#include <calls/divide_limit.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <numeric>
#include <ostream>
#include <set>
#include <tuple>

using namespace berylhill;
using namespace berylhill::calls::testing;
using calls::admission_state;
using calls::ran;
using calls::refusal_code;

BOOST_AUTO_TEST_SUITE(admission)

namespace
{

std::vector<std::string> const s_three{"e-1", "e-2", "e-3"};

calls::admission
entry(std::string const& name,
      model::contract const& contract = contract_of("kitakaze", 90, 30))
{
    calls::admission it{name, {}, calls::generator{3}};
    it.set_contract(contract, at_ms(0));
    it.set_live(s_three, at_ms(0));
    return it;
}

/// Runs gossip rounds between two instants, with the demand that peers report.
void rounds(calls::admission& it,
            std::int64_t from_ms,
            std::int64_t to_ms,
            std::vector<calls::entry_demand> const& peers = {})
{
    for (auto ms = from_ms; ms <= to_ms; ms += 200)
    {
        for (auto const& each : peers)
        {
            it.update_demand(each);
        }
        std::ignore = it.update_shares(at_ms(ms));
    }
}

/// Number of calls that this entry admits by itself at one instant.
int admitted(calls::admission& it, base::instant now)
{
    int n = 0;
    while (!it.admit_for("e-1", "kitakaze", "report-svc", now))
    {
        ++n;
    }
    return n;
}

struct share_case
{
    double limit;
    std::vector<double> demands;
    std::vector<double> expected;
};

std::ostream& operator<<(std::ostream& out, share_case const& it)
{
    return out << it.limit << " over " << it.demands.size();
}

std::array const s_shares{
    share_case{90, {0, 0, 0}, {30, 30, 30}},
    share_case{90, {900, 0, 0}, {84, 3, 3}},
    share_case{90, {900, 900, 10}, {40, 40, 10}},
    share_case{1, {0, 5, 0}, {0, 1, 0}},
    share_case{2, {1, 1, 1}, {1, 1, 0}},
    share_case{0, {1, 1}, {0, 0}},
};

} // namespace

BOOST_DATA_TEST_CASE(whole_shares_add_up_to_the_limit, s_shares, it)
{
    auto const shares = calls::divide_units(it.limit, it.demands, 0.1);
    BOOST_TEST(shares == it.expected, boost::test_tools::per_element());
    BOOST_TEST(std::accumulate(shares.begin(), shares.end(), 0.0) == it.limit);
}

// Guards against a limit exceeded for seconds after each start of an entry: the
// new entry uses its share at once, while the others have not yet received its
// demand and still use the whole limit.
BOOST_AUTO_TEST_CASE(
    a_new_entry_admits_nothing_until_the_others_reduced_their_shares)
{
    auto it = entry("e-1");
    rounds(it, 0, 800);
    auto const early =
        it.next("kitakaze", "report-svc", {"e-2", "e-3"}, at_ms(900));
    BOOST_CHECK(early.state == admission_state::refused);
    BOOST_CHECK(early.why.execution == ran::not_run);
    BOOST_TEST(early.why.retry_after_s > 0);
    rounds(it, 1'000, 1'400);
    BOOST_TEST(admitted(it, at_ms(1'400)) == 10);
}

// Guards against a limit exceeded after a process was suspended: an entry is
// stopped for 20 s, its peers remove it and use its share, and when it resumes
// it admits calls against its old share.
BOOST_AUTO_TEST_CASE(a_share_expires_while_the_process_is_suspended)
{
    auto it = entry("e-1");
    rounds(it, 0, 2'000);
    BOOST_TEST(it.share_of("kitakaze").at_once == 10);
    BOOST_TEST(admitted(it, at_ms(22'000)) == 0);
    rounds(it, 22'000, 22'800);
    BOOST_TEST(admitted(it, at_ms(22'900)) == 0);
    rounds(it, 23'000, 23'600);
    BOOST_TEST(admitted(it, at_ms(23'600)) == 10);
}

BOOST_AUTO_TEST_CASE(a_share_shrinks_at_once_and_grows_after_the_settling_time)
{
    auto it = entry("e-1");
    rounds(it, 0, 2'000);
    calls::entry_demand const busy{"e-2", {{"kitakaze", 900, 30}}};
    rounds(it, 2'200, 2'200, {busy});
    BOOST_TEST(it.share_of("kitakaze").at_once == 1);
    calls::entry_demand const quiet{"e-2", {}};
    rounds(it, 2'400, 3'200, {quiet});
    BOOST_TEST(it.share_of("kitakaze").at_once == 1);
    rounds(it, 3'400, 3'600, {quiet});
    BOOST_TEST(it.share_of("kitakaze").at_once == 10);
}

// Guards against a permanent loss of concurrency: an entry fails with calls in
// flight whose end is never reported, so that they stay counted.
BOOST_AUTO_TEST_CASE(calls_of_a_failed_entry_release_their_concurrency)
{
    auto it = entry("e-1");
    rounds(it, 0, 2'000);
    for (int i = 0; i < 10; ++i)
    {
        BOOST_TEST(
            !it.admit_for("e-3", "kitakaze", "report-svc", at_ms(2'000)));
    }
    BOOST_TEST(admitted(it, at_ms(2'000)) == 0);
    it.set_live({"e-1", "e-2"}, at_ms(2'100));
    BOOST_TEST(admitted(it, at_ms(2'100)) == 10);
    // A late report of a finished call changes nothing.
    it.finished("e-3", "kitakaze", base::duration{1}, 0, at_ms(2'100));
    BOOST_TEST(admitted(it, at_ms(2'100)) == 0);
}

BOOST_AUTO_TEST_CASE(an_entry_with_an_exhausted_share_asks_another_home_once)
{
    auto it = entry("e-1");
    rounds(it, 0, 2'000);
    BOOST_TEST(admitted(it, at_ms(2'000)) == 10);
    auto const first = it.next("kitakaze", "report-svc", {}, at_ms(2'000));
    BOOST_CHECK(first.state == admission_state::ask_home);
    BOOST_TEST(first.home != "e-1");
    it.mark_home_exhausted("kitakaze", first.home, at_ms(2'000));
    auto const second =
        it.next("kitakaze", "report-svc", {first.home}, at_ms(2'000));
    BOOST_CHECK(second.state == admission_state::ask_home);
    BOOST_TEST(second.home != first.home);
    it.mark_home_exhausted("kitakaze", second.home, at_ms(2'000));
    // The next call does not ask the exhausted homes again.
    auto const next = it.next("kitakaze", "report-svc", {}, at_ms(2'010));
    BOOST_CHECK(next.state == admission_state::refused);
    BOOST_CHECK(next.why.execution == ran::not_run);
}

BOOST_AUTO_TEST_CASE(a_limit_of_one_call_is_usable)
{
    auto contract = contract_of("kitakaze", 1, 1);
    contract.call_burst = 1;
    int n = 0;
    for (auto const& name : s_three)
    {
        auto it = entry(name, contract);
        rounds(it, 0, 3'000);
        n += admitted(it, at_ms(3'000));
    }
    BOOST_TEST(n == 1);
}

BOOST_AUTO_TEST_CASE(resends_are_paid_to_the_rate_afterwards)
{
    auto contract = contract_of("kitakaze", 3, 300);
    contract.call_burst = 30;
    auto it = entry("e-1", contract);
    rounds(it, 0, 12'000);
    BOOST_TEST(!it.admit_for("e-1", "kitakaze", "report-svc", at_ms(12'000)));
    it.finished("e-1", "kitakaze", base::duration{1'000}, 9, at_ms(12'000));
    BOOST_TEST(admitted(it, at_ms(12'000)) == 0);
}

// Guards against synchronised retries: refused clients that were all told the
// same time retry in the same instant and are refused again.
BOOST_AUTO_TEST_CASE(refused_clients_are_told_different_times_to_come_back)
{
    auto it = entry("e-1");
    rounds(it, 0, 2'000);
    BOOST_TEST(admitted(it, at_ms(2'000)) == 10);
    std::vector<double> times;
    for (int i = 0; i < 100; ++i)
    {
        auto const why =
            it.admit_for("e-1", "kitakaze", "report-svc", at_ms(2'000));
        BOOST_REQUIRE(why);
        BOOST_CHECK(why->code == refusal_code::too_many_at_once);
        times.push_back(why->retry_after_s);
    }
    // The first few are refused in the same state, so that only the jitter
    // separates them.
    BOOST_TEST((std::set<double>{times.begin(), times.begin() + 5}.size()) ==
               5U);
    auto const [least, most] = std::minmax_element(times.begin(), times.end());
    BOOST_TEST(*least > 0);
    BOOST_TEST(*most > 2 * *least);
}

BOOST_AUTO_TEST_CASE(what_a_contract_does_not_name_is_refused)
{
    auto it = entry("e-1");
    rounds(it, 0, 2'000);
    auto const service = it.next("kitakaze", "handicap", {}, at_ms(2'000));
    BOOST_CHECK(service.why.code == refusal_code::service_not_allowed);
    auto const contract = it.next("nobody", "report-svc", {}, at_ms(2'000));
    BOOST_CHECK(contract.why.code == refusal_code::unknown_contract);
}

BOOST_AUTO_TEST_SUITE_END()
