#pragma once

#include <base/result.hpp>
#include <platform/worker_link.hpp>

#include <json/value.h>

/// JSON of the messages between a group's owner and a worker; members carry the
/// names of the structs' members. See docs/PLATFORM.md.
namespace berylhill::platform
{

[[nodiscard]] Json::Value to_json(worker_request const& it);
[[nodiscard]] Json::Value to_json(worker_answer const& it);

/// Each fails with `invalid` where a member is missing or of another type: a
/// worker that guessed a missing lease would run a task for nobody.
[[nodiscard]] base::result<worker_request>
worker_request_from(Json::Value const& it);
[[nodiscard]] base::result<worker_answer>
worker_answer_from(Json::Value const& it);

} // namespace berylhill::platform
