#pragma once

#include <base/result.hpp>
#include <calls/call_outcome.hpp>
#include <calls/entry_demand.hpp>
#include <calls/group_digest.hpp>
#include <placement/group_digest.hpp>
#include <placement/hold.hpp>
#include <placement/job_queue.hpp>
#include <platform/minion_link.hpp>
#include <platform/worker_link.hpp>

#include <json/value.h>

#include <string>

/// What entries say to each other, as JSON. Readers take what our own
/// processes wrote, of this version or of one next to it: a missing member
/// has the default of its type, and each fails with `invalid` on a wrong one.
namespace berylhill::entry
{

[[nodiscard]] Json::Value to_json(placement::hold_request const& it);
[[nodiscard]] base::result<placement::hold_request>
hold_request_from(Json::Value const& it);

[[nodiscard]] std::string_view name_of(placement::hold_state it) noexcept;
[[nodiscard]] placement::hold_state hold_state_from(std::string_view name);

[[nodiscard]] Json::Value to_json(placement::group_digest const& it);
[[nodiscard]] base::result<placement::group_digest>
worker_digest_from(Json::Value const& it);

[[nodiscard]] Json::Value to_json(calls::group_digest const& it);
[[nodiscard]] base::result<calls::group_digest>
minion_digest_from(Json::Value const& it);

[[nodiscard]] Json::Value to_json(calls::entry_demand const& it);
[[nodiscard]] base::result<calls::entry_demand>
demand_from(Json::Value const& it);

[[nodiscard]] Json::Value to_json(placement::attempt_end const& it);
[[nodiscard]] base::result<placement::attempt_end>
attempt_end_from(Json::Value const& it);

[[nodiscard]] Json::Value to_json(calls::call_outcome const& it);
[[nodiscard]] base::result<calls::call_outcome>
call_outcome_from(Json::Value const& it);

/// Bodies may be any bytes, which JSON text cannot carry.
[[nodiscard]] std::string to_base64(std::string_view bytes);
[[nodiscard]] base::result<std::string> from_base64(std::string_view text);

} // namespace berylhill::entry
