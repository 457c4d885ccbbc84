#pragma once

#include <base/result.hpp>

#include <json/value.h>

namespace berylhill::entry
{

struct entry_node;

/// The method `minions.call` at the owner of a group: waits for a slot, sends
/// the call once, and returns the outcome. Thread-safe; blocks until the
/// call's deadline at most. Fails with `superseded` where the group is not
/// owned here, and then surely nothing ran.
[[nodiscard]] base::result<Json::Value>
serve_minion_call(entry_node& self, Json::Value const& parameters);

} // namespace berylhill::entry
