#include <cell/advice_desk.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace berylhill;

namespace
{

class counting_link final : public cell::advice_link
{
public:
    void ask(workload::step_name const&,
             std::vector<std::string> const&,
             base::duration,
             cell::advice_handler) override
    {
        ++asked;
    }

    std::size_t asked{0};
};

struct desk_case
{
    char const* name;
    std::size_t others;
    std::chrono::milliseconds expected;
    int questions;
    /// How many of them this machine asks itself.
    std::size_t own;
};

std::ostream& operator<<(std::ostream& to, desk_case const& it)
{
    return to << it.name;
}

constexpr std::chrono::milliseconds short_time{13};
constexpr std::chrono::milliseconds long_time{800};

desk_case const cases[] = {
    {"alone it asks everything itself", 0, long_time, 3, 3},
    {"the first question stays here", 6, short_time, 1, 1},
    {"questions that come together are spread", 6, short_time, 7, 1},
    {"long ones leave this machine to the short ones", 6, long_time, 20, 0},
    {"with few others all take all", 2, long_time, 3, 1},
};

} // namespace

BOOST_AUTO_TEST_SUITE(advice_desk)

/// A user's urgent work waits for most of a second after a change of owner.
/// All questions for advice queue up on the new owner's machine, short ones
/// behind long ones, and the service answers one at a time.
BOOST_DATA_TEST_CASE(questions_are_spread_over_the_machines,
                     boost::unit_test::data::make(cases))
{
    boost::asio::io_context loop;
    base::manual_clock clock;
    network::http_client client{loop, {}};
    cell::peer_client peers{client};
    counting_link own;
    std::vector<cell::peer> others;
    for (std::size_t n = 0; n < sample.others; ++n)
    {
        others.push_back(
            {"n", {"127.0.0.1", static_cast<std::uint16_t>(n + 1)}});
    }
    cell::advice_desk desk{clock, own, peers,
                           [&]
                           {
                               return others;
                           }};
    for (int n = 0; n < sample.questions; ++n)
    {
        scheduler::advice_order order;
        order.expected = sample.expected;
        desk.ask(order, [](auto const&) {});
    }
    BOOST_TEST(own.asked == sample.own);
}

BOOST_AUTO_TEST_SUITE_END()
