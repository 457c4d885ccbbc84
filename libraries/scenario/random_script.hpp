#pragma once

#include <cstdint>
#include <string>

namespace berylhill::scenario
{

/// A scenario with work and faults composed from the seed: any of them at any
/// moment, together or twice. All faults end before the stated outcomes, so
/// that accepted work can come to its end.
[[nodiscard]] std::string random_script(std::uint64_t seed);

} // namespace berylhill::scenario
