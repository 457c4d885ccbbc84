#include <scheduler/account_shares.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace berylhill;

namespace
{

struct rate_case
{
    char const* name;
    double weight;
    double per_second;
    /// Bounds of the share of jobs, submitted over 10 s, that is within the
    /// account's share.
    double least;
    double most;
};

std::ostream& operator<<(std::ostream& to, rate_case const& it)
{
    return to << it.name;
}

rate_case const rates[] = {
    {"exactly its share", 20, 20, 1, 1},
    {"half of its share", 20, 10, 1, 1},
    {"two and a half times its share", 20, 50, 0.4, 0.5},
    {"an account with a tiny share", 0.5, 1, 0.8, 1},
    {"an account without a weight", 0, 100, 1, 1},
};

} // namespace

BOOST_AUTO_TEST_SUITE(account_shares)

/// Guards against an account that submits several times its usual rate and so
/// takes the place of all others' work.
BOOST_DATA_TEST_CASE(jobs_beyond_the_weight_are_over_the_share,
                     boost::unit_test::data::make(rates))
{
    scheduler::account_shares it;
    it.set_accounts({{"a", {}, sample.weight, {}}});
    constexpr double seconds = 10;
    auto const jobs = static_cast<int>(sample.per_second * seconds);
    auto owed = 0;
    for (int n = 0; n < jobs; ++n)
    {
        auto const at = base::instant{std::chrono::seconds{100}} +
                        base::from_seconds(n / sample.per_second);
        owed += it.take("a", at) ? 1 : 0;
    }
    auto const share = static_cast<double>(owed) / jobs;
    BOOST_TEST(share >= sample.least);
    BOOST_TEST(share <= sample.most);
}

BOOST_AUTO_TEST_SUITE_END()
