#include "world.hpp"

#include <algorithm>

namespace berylhill::scheduler_test
{

namespace
{

/// The share of the tasks that outlast leases, and how much longer they take.
constexpr double long_share = 0.3;
constexpr std::int64_t times_longer = 8;

constexpr std::int64_t shortest_cut_ms = 2'000;
constexpr std::int64_t longest_cut_ms = 14'000;

} // namespace

/// Leases are shorter than the cuts, and tasks are longer than the leases.
void world::shorten_leases()
{
    m_rules.lease = std::chrono::milliseconds{3'000};
    m_rules.longest_lease = std::chrono::milliseconds{3'500};
}

void world::lengthen(workload::step_spec& it)
{
    if (chance(m_island_random, m_rough.island > 0 ? long_share : 0))
    {
        it.estimate_ms *= times_longer;
    }
}

/// The owners so far are cut off from the store and from the later ones, and
/// reach some of the instances, which the later ones do not reach.
void world::cut_off_owners()
{
    m_island.clear();
    for (auto const& [id, it] : m_instances)
    {
        if (chance(m_island_random, 0.5))
        {
            m_island.insert(it->address);
        }
    }
    m_last_cut_off = m_owner->token;
    m_island_until =
        m_now +
        std::chrono::milliseconds{std::uniform_int_distribution<std::int64_t>{
            shortest_cut_ms, longest_cut_ms}(m_island_random)};
    m_log.write(base::log_level::debug, "world_island",
                {{"last_token", m_last_cut_off},
                 {"instances", std::uint64_t{m_island.size()}}});
}

bool world::cut_off(owner const& it) const
{
    return m_now < m_island_until && it.token <= m_last_cut_off;
}

bool world::reaches(owner const& by, fake_instance const& at) const
{
    return !at.cut && (m_now >= m_island_until ||
                       cut_off(by) == m_island.contains(at.address));
}

} // namespace berylhill::scheduler_test
