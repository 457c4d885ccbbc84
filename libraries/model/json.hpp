#pragma once

#include <base/result.hpp>
#include <model/contract.hpp>
#include <model/endpoint.hpp>
#include <model/job.hpp>
#include <model/names.hpp>

#include <json/value.h>

#include <string>
#include <string_view>

/// The one place where values become JSON and come back. Readers take what our
/// own processes wrote; input from people is checked by `settings` first.
namespace berylhill::model
{

[[nodiscard]] Json::Value to_json(resources const& it);
[[nodiscard]] Json::Value to_json(contract const& it);
[[nodiscard]] Json::Value to_json(job_request const& it);
[[nodiscard]] Json::Value to_json(task_id const& it);
[[nodiscard]] Json::Value to_json(attempt_id const& it);
[[nodiscard]] Json::Value to_json(endpoint const& it);

/// Each fails with `invalid` and names the member that is wrong. A missing
/// member has the default of its type.
[[nodiscard]] base::result<resources> resources_from(Json::Value const& it);
[[nodiscard]] base::result<contract> contract_from(Json::Value const& it);
[[nodiscard]] base::result<job_request> job_request_from(Json::Value const& it);
[[nodiscard]] base::result<task_id> task_id_from(Json::Value const& it);
[[nodiscard]] base::result<attempt_id> attempt_id_from(Json::Value const& it);
[[nodiscard]] base::result<endpoint> endpoint_from(Json::Value const& it);

/// One line, no spaces.
[[nodiscard]] std::string text_of(Json::Value const& it);

/// Fails with `invalid`, naming the line and column.
[[nodiscard]] base::result<Json::Value> parse_json(std::string_view text);

} // namespace berylhill::model
