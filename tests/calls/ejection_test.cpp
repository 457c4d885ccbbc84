#include "fixtures.hpp"

#include <calls/minion_pool.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <map>
#include <ostream>
#include <tuple>

using namespace berylhill;
using namespace berylhill::calls::testing;
using calls::call_end;
using calls::health_state;

BOOST_AUTO_TEST_SUITE(ejection)

namespace
{

/// How a minion answers; a running time of 0 ms means no answer.
struct behaviour
{
    call_end end{call_end::succeeded};
    std::int64_t run_ms{10};
};

/// A pool whose minions behave as configured, with one call per millisecond.
class driven_pool
{
public:
    explicit driven_pool(std::vector<behaviour> minions)
        : m_minions{std::move(minions)}
        , m_pool{"g-1", "report-svc", {}, calls::generator{7}}
    {
        for (std::size_t i = 0; i < m_minions.size(); ++i)
        {
            act(m_pool.set_minion(minion(std::to_string(i)), now()));
        }
    }

    void run_for(std::int64_t ms)
    {
        for (auto const end = m_ms + ms; m_ms < end; ++m_ms)
        {
            for (auto due = m_due.begin();
                 due != m_due.end() && due->first <= m_ms;
                 due = m_due.erase(due))
            {
                answer(due->second);
            }
            act(m_pool.expire(now()));
            auto const id = "r-" + std::to_string(m_ms);
            act(m_pool.offer(call_of(id, now()), now()));
        }
    }

    void set(std::size_t minion, behaviour how)
    {
        m_minions[minion] = how;
    }

    [[nodiscard]] health_state state(std::size_t minion) const
    {
        return m_pool.find(std::to_string(minion))->health().state();
    }

    [[nodiscard]] std::int32_t usable(std::size_t minion) const
    {
        return m_pool.find(std::to_string(minion))->usable(now());
    }

    [[nodiscard]] std::size_t out() const
    {
        std::size_t n = 0;
        for (std::size_t i = 0; i < m_minions.size(); ++i)
        {
            n += state(i) == health_state::active ? 0 : 1;
        }
        return n;
    }

    /// Number of sends to each minion since the last call.
    [[nodiscard]] std::map<std::string, int> take_sends()
    {
        return std::exchange(m_sends, {});
    }

private:
    [[nodiscard]] base::instant now() const
    {
        return at_ms(m_ms);
    }

    void answer(std::string const& id)
    {
        auto const& how = m_minions[std::stoul(m_pool.minion_of(id))];
        act(how.end == call_end::failed ? m_pool.not_run(id, now())
                                        : m_pool.answered(id, how.end, now()));
    }

    void act(calls::minion_pool_actions const& actions)
    {
        for (auto const& it : only<calls::send_to_minion>(actions))
        {
            ++m_sends[it.minion];
            auto const run = m_minions[std::stoul(it.minion)].run_ms;
            if (run > 0)
            {
                m_due.emplace(m_ms + run, it.request_id);
            }
        }
        for (auto const& it : only<calls::probe_minion>(actions))
        {
            act(m_pool.probed(it.minion, true, now()));
        }
    }

    std::vector<behaviour> m_minions;
    calls::minion_pool m_pool;
    std::int64_t m_ms{1};
    std::multimap<std::int64_t, std::string> m_due;
    std::map<std::string, int> m_sends;
};

constexpr behaviour s_good{};
constexpr behaviour s_failing{call_end::failed, 1};
constexpr behaviour s_slow{call_end::succeeded, 200};
constexpr behaviour s_silent{call_end::succeeded, 0};

struct bad_case
{
    char const* name;
    behaviour how;
};

std::ostream& operator<<(std::ostream& out, bad_case const& it)
{
    return out << it.name;
}

std::array const s_bad{
    bad_case{"failing", s_failing},
    bad_case{"slow", s_slow},
    bad_case{"silent", s_silent},
};

} // namespace

// Guards against one bad minion that makes a tenth of the calls fail or slow
// although five of six minions are healthy. A minion that fails immediately is
// always the least loaded and attracts most calls.
BOOST_DATA_TEST_CASE(one_bad_minion_is_taken_out, s_bad, it)
{
    driven_pool group{{s_good, s_good, it.how, s_good, s_good, s_good}};
    group.run_for(1'000);
    BOOST_CHECK(group.state(2) != health_state::active);
    BOOST_TEST(group.out() == 1U);
    std::ignore = group.take_sends();
    group.run_for(500);
    BOOST_TEST(group.take_sends()["2"] == 0);
}

// The service's database is down and every call fails. Ejecting one minion
// after another would leave the last one with the whole load when the database
// is back.
BOOST_DATA_TEST_CASE(minions_that_are_all_bad_stay_in, s_bad, it)
{
    driven_pool group{{it.how, it.how, it.how, it.how}};
    group.run_for(3'000);
    BOOST_TEST(group.out() == 0U);
}

BOOST_AUTO_TEST_CASE(never_more_than_half_are_out)
{
    driven_pool group{
        {s_good, s_good, s_good, s_failing, s_failing, s_failing}};
    group.run_for(1'500);
    BOOST_TEST(group.out() == 3U);
    group.set(2, s_failing);
    group.run_for(400);
    BOOST_TEST(group.out() == 3U);
}

// Guards against a recovered minion that gets its full load at once, with cold
// caches, and is ejected again. It starts with one call at a time.
BOOST_AUTO_TEST_CASE(a_recovered_minion_returns_slowly)
{
    driven_pool group{{s_good, s_good, s_failing, s_good}};
    group.run_for(1'000);
    BOOST_CHECK(group.state(2) == health_state::ejected);
    group.set(2, s_good);
    group.run_for(1'500);
    BOOST_CHECK(group.state(2) == health_state::active);
    BOOST_TEST(group.usable(2) <= 2);
    group.run_for(2'000);
    BOOST_TEST(group.usable(2) >= 3);
    BOOST_TEST(group.usable(2) <= 5);
    group.run_for(3'000);
    BOOST_TEST(group.usable(2) == 8);
}

BOOST_AUTO_TEST_CASE(each_ejection_lasts_twice_as_long)
{
    calls::health_settings const settings;
    calls::minion_health it{settings};
    auto now = at_ms(0);
    for (auto span = settings.first_ejection; span < settings.max_ejection;
         span *= 2)
    {
        it.eject(now);
        BOOST_TEST((it.ejected_until() - now == span));
        BOOST_TEST(!it.start_probe(it.ejected_until() - base::duration{1}));
        now = it.ejected_until();
        BOOST_TEST(it.start_probe(now));
    }
}

BOOST_AUTO_TEST_SUITE_END()
