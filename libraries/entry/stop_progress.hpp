#pragma once

#include <base/result.hpp>
#include <model/endpoint.hpp>

#include <json/value.h>

#include <string>

namespace berylhill::entry
{

struct entry_node;

/// How far an announced stop has come: `{"state":"announced|draining|done",
/// "work_left":n}`. Fails with `not_found` where none was announced. Asks the
/// endpoint's owner; blocks.
[[nodiscard]] base::result<Json::Value> stop_progress(entry_node& self,
                                                      model::endpoint_kind kind,
                                                      std::string const& id);

} // namespace berylhill::entry
