#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace berylhill::ownership
{

/// A process that can own units.
struct candidate
{
    std::string incarnation;
    std::string instance;
    std::string zone;

    friend auto operator<=>(candidate const&, candidate const&) = default;
};

/// Returns the incarnations in order of preference as owner of the unit, by
/// rendezvous hashing: first over zones, so that units spread evenly over zones
/// of unequal size, then over the instances of a zone. Every process gets the
/// same order.
[[nodiscard]] std::vector<std::string>
preference_order(std::string_view unit,
                 std::vector<candidate> const& candidates);

/// Returns the processes that monitor the heartbeats of `watched`: at most
/// `max_watchers` of the others, spread over all zones so that the loss of a
/// zone removes few of them. Every process gets the same result.
[[nodiscard]] std::vector<candidate>
watchers_of(candidate const& watched,
            std::vector<candidate> const& all,
            std::size_t max_watchers);

/// Number of units by owner's incarnation.
using unit_counts = std::map<std::string, std::size_t>;

/// The largest number of units that one of `processes` processes should own:
/// the mean times `max_load_factor`, rounded up.
[[nodiscard]] std::size_t max_units_per_process(std::size_t units,
                                                std::size_t processes,
                                                double max_load_factor);

} // namespace berylhill::ownership
