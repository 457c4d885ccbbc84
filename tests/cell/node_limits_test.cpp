#include <cell/node_limits.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace berylhill;

namespace
{

struct machine_case
{
    std::int64_t memory_mb;
    std::int64_t descriptors;
};

std::ostream& operator<<(std::ostream& to, machine_case const& it)
{
    return to << it.memory_mb << " MB, " << it.descriptors << " descriptors";
}

machine_case const machines[] = {
    {120, 3'075}, {160, 4'100},  {260, 4'100},
    {512, 8'192}, {512, 10'250}, {16, 864},
};

settings::cell_limit_settings machine_of(machine_case const& it)
{
    settings::cell_limit_settings out;
    out.memory_mb = it.memory_mb;
    out.descriptors = it.descriptors;
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(node_limits)

/// Guards against an owner that reaches neither its instances nor the store:
/// those who come to it hold all descriptors.
BOOST_DATA_TEST_CASE(listeners_leave_half_of_the_descriptors,
                     boost::unit_test::data::make(machines))
{
    auto const machine = machine_of(sample);
    auto const at_listeners = cell::caller_limits(machine, {}).connections +
                              cell::peer_limits(machine, {}).connections +
                              2 * cell::probe_limits().connections;
    BOOST_TEST(at_listeners <=
               static_cast<std::size_t>(machine.descriptors) / 2);
}

BOOST_DATA_TEST_CASE(connections_and_work_leave_a_quarter_of_the_memory,
                     boost::unit_test::data::make(machines))
{
    constexpr std::size_t bytes_per_mb = 1'048'576;
    auto const machine = machine_of(sample);
    auto const all = static_cast<std::size_t>(machine.memory_mb) * bytes_per_mb;
    BOOST_TEST(cell::connection_bytes(machine) +
                   static_cast<std::size_t>(machine.work_bytes()) <=
               all / 4 * 3);
}

BOOST_AUTO_TEST_SUITE_END()
