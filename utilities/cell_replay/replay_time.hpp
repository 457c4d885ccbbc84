#pragma once

#include <base/time.hpp>

#include <string>

namespace berylhill::cell_replay
{

/// One way to an instance or to another machine.
inline constexpr base::duration way{std::chrono::milliseconds{2}};

[[nodiscard]] double seconds_since(base::instant from, base::instant to);

[[nodiscard]] base::duration span_of(double seconds);

/// A number from 0 to 1 that depends on the name alone.
[[nodiscard]] double chance_of(std::string const& name);

} // namespace berylhill::cell_replay
