#include <entry/reply.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <memory>
#include <optional>
#include <ostream>

using namespace berylhill;
using base::failure_code;

BOOST_AUTO_TEST_SUITE(reply)

namespace
{

struct gone_case
{
    char const* name;
    entry::effect reached;
    failure_code told;
};

std::ostream& operator<<(std::ostream& out, gone_case const& it)
{
    return out << it.name;
}

std::array const s_gone{
    gone_case{"orders, carried out with the answer", entry::effect::with_answer,
              failure_code::superseded},
    gone_case{"a submission, written before the answer",
              entry::effect::before_answer, failure_code::outcome_unknown},
};

} // namespace

// A shard changes hands while a submission is being written: a caller that is
// told that nothing ran submits its job a second time.
BOOST_DATA_TEST_CASE(an_actor_that_ends_without_an_answer, s_gone, it)
{
    auto const slot = std::make_shared<entry::reply<int>>();
    {
        entry::reply_promise<int> const promise{
            slot, entry::failure_when_gone("jobs/0", it.reached)};
        auto const kept = std::make_unique<entry::reply_promise<int>>(promise);
    }
    auto const answer = slot->wait(base::duration{0});
    BOOST_REQUIRE(answer.has_value());
    BOOST_REQUIRE(!answer->has_value());
    BOOST_CHECK(answer->error().code == it.told);
}

BOOST_AUTO_TEST_SUITE_END()
