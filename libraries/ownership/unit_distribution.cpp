#include <ownership/unit_distribution.hpp>

#include <base/hash.hpp>

#include <cmath>
#include <utility>

namespace berylhill::ownership
{

std::vector<std::string>
preference_order(std::string_view unit,
                 std::vector<candidate> const& candidates)
{
    std::map<std::string, std::map<std::string, std::string>> by_zone;
    for (auto const& it : candidates)
    {
        by_zone[it.zone][it.instance] = it.incarnation;
    }
    std::vector<std::string> zones;
    zones.reserve(by_zone.size());
    for (auto const& [zone, instances] : by_zone)
    {
        zones.push_back(zone);
    }
    std::vector<std::string> order;
    for (auto const& zone : base::rendezvous_order(unit, zones))
    {
        std::vector<std::string> names;
        for (auto const& [instance, incarnation] : by_zone[zone])
        {
            names.push_back(instance);
        }
        for (auto const& name : base::rendezvous_order(unit, names))
        {
            order.push_back(by_zone[zone][name]);
        }
    }
    return order;
}

std::vector<candidate> watchers_of(candidate const& watched,
                                   std::vector<candidate> const& all,
                                   std::size_t max_watchers)
{
    std::map<std::string, candidate> by_incarnation;
    std::vector<candidate> others;
    for (auto const& it : all)
    {
        if (it.incarnation != watched.incarnation)
        {
            others.push_back(it);
            by_incarnation[it.incarnation] = it;
        }
    }
    if (others.size() <= max_watchers)
    {
        return others;
    }
    // Takes the most preferred of each zone, then the second of each zone, etc.
    std::map<std::string, std::size_t> taken_by_zone;
    std::map<std::pair<std::size_t, std::size_t>, candidate> by_round;
    std::size_t position = 0;
    for (auto const& name : preference_order(watched.instance, others))
    {
        auto const& it = by_incarnation[name];
        by_round.emplace(std::pair{taken_by_zone[it.zone]++, position++}, it);
    }
    std::vector<candidate> watchers;
    for (auto const& [round, it] : by_round)
    {
        if (watchers.size() < max_watchers)
        {
            watchers.push_back(it);
        }
    }
    return watchers;
}

std::size_t max_units_per_process(std::size_t units,
                                  std::size_t processes,
                                  double max_load_factor)
{
    if (processes == 0)
    {
        return units;
    }
    auto const mean =
        static_cast<double>(units) / static_cast<double>(processes);
    return static_cast<std::size_t>(std::ceil(mean * max_load_factor));
}

} // namespace berylhill::ownership
