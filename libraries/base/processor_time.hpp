#pragma once

#include <base/time.hpp>

namespace berylhill::base
{

/// Processor time that all threads of this process have used; thread-safe.
[[nodiscard]] duration processor_time();

} // namespace berylhill::base
