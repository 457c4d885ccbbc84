#include <ownership/spread.hpp>

#include <base/hash.hpp>

#include <cmath>

namespace berylhill::ownership
{

std::vector<std::string> wanted_order(std::string_view unit,
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

std::size_t most_units(std::size_t units, std::size_t n, double most_load)
{
    if (n == 0)
    {
        return units;
    }
    auto const mean = static_cast<double>(units) / static_cast<double>(n);
    return static_cast<std::size_t>(std::ceil(mean * most_load));
}

} // namespace berylhill::ownership
