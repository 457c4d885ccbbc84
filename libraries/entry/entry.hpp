#pragma once

#include <settings/entry_settings.hpp>

namespace berylhill::entry
{

/// Runs one entry instance until SIGTERM or SIGINT, or until its own planned
/// stop is announced, and then stops gracefully: it hands its units over,
/// finishes what it has begun, and returns. Returns 0 after that, and 3 where
/// it could not begin to listen. Call from the main thread, once a process.
[[nodiscard]] int run(settings::entry_settings const& settings);

} // namespace berylhill::entry
