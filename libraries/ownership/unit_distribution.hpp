#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace berylhill::ownership
{

/// A process that can take units.
struct candidate
{
    std::string incarnation;
    std::string instance;
    std::string zone;

    friend auto operator<=>(candidate const&, candidate const&) = default;
};

/// The incarnations in the order in which they are wanted for the unit: by
/// rendezvous over zones first, so that units spread over zones whatever their
/// sizes, then over the instances of a zone. Equal in every process.
[[nodiscard]] std::vector<std::string>
preference_order(std::string_view unit,
                 std::vector<candidate> const& candidates);

/// Who watches the process for silence: at most `most` of the others, from as
/// many zones as there are, so that a zone that is lost takes few of them.
/// Equal in every process.
[[nodiscard]] std::vector<candidate>
watchers_of(candidate const& watched,
            std::vector<candidate> const& all,
            std::size_t most);

/// How many units each process owns.
using unit_counts = std::map<std::string, std::size_t>;

/// The most units that one of `n` processes should own.
[[nodiscard]] std::size_t
max_units_per_process(std::size_t units, std::size_t n, double max_load_factor);

} // namespace berylhill::ownership
