#pragma once

#include <json/value.h>

#include <string>
#include <vector>

namespace berylhill::tests
{

/// Where `value` is not what the schema of an OpenAPI document says, one line
/// each, with a JSON pointer. Knows `$ref`, `allOf`, `type`, `enum`,
/// `required`, `properties`, `additionalProperties` and `items`: all that
/// docs/openapi.json uses of answers.
[[nodiscard]] std::vector<std::string>
mismatches(Json::Value const& document,
           Json::Value const& schema,
           Json::Value const& value,
           std::string const& pointer = "");

} // namespace berylhill::tests
