#pragma once

#include <configuration/contract_version.hpp>
#include <configuration/planned_stop.hpp>

#include <base/result.hpp>

#include <json/value.h>

/// The JSON of the values that peers, snapshots and the operators' interface
/// share. Every reader fails with `invalid` and names the wrong member.
namespace berylhill::configuration
{

[[nodiscard]] Json::Value to_json(contract_version const& it);
[[nodiscard]] Json::Value to_json(contract_history_item const& it);
[[nodiscard]] Json::Value to_json(apply_conflict const& it);
[[nodiscard]] Json::Value to_json(apply_verdict const& it);
[[nodiscard]] Json::Value to_json(planned_stop const& it);

[[nodiscard]] base::result<contract_version>
contract_version_from(Json::Value const& it);
[[nodiscard]] base::result<contract_history_item>
contract_history_item_from(Json::Value const& it);
[[nodiscard]] base::result<apply_conflict>
apply_conflict_from(Json::Value const& it);
[[nodiscard]] base::result<apply_verdict>
apply_verdict_from(Json::Value const& it);
[[nodiscard]] base::result<planned_stop>
planned_stop_from(Json::Value const& it);

} // namespace berylhill::configuration
