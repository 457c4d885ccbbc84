#pragma once

namespace berylhill::entry
{

struct entry_node;

/// Starts the actors that follow the shared streams of the log: ownership,
/// configuration and calls. They end when `self.stopping` is set and the last
/// read has returned.
void follow_streams(entry_node& self);

} // namespace berylhill::entry
