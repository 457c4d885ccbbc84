#pragma once

#include <caf/event_based_actor.hpp>

namespace berylhill::entry
{

/// Ends the process when a handler of this actor throws. A process that lives
/// on without one of its actors looks healthy and does part of its work no
/// more; one that has ended is taken over within seconds.
void end_process_on_exception(caf::scheduled_actor& actor);

} // namespace berylhill::entry
