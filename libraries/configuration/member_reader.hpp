#pragma once

#include <base/result.hpp>
#include <model/endpoint.hpp>

#include <json/value.h>

#include <cstdint>
#include <string>
#include <vector>

/// Reads single members of what our own processes wrote. Each fails with
/// `invalid` and names the member where it is missing or of the wrong type.
namespace berylhill::configuration
{

[[nodiscard]] base::result<std::string> text_in(Json::Value const& it,
                                                char const* name);
[[nodiscard]] base::result<std::int64_t> integer_in(Json::Value const& it,
                                                    char const* name);
[[nodiscard]] base::result<bool> flag_in(Json::Value const& it,
                                         char const* name);
[[nodiscard]] base::result<Json::Value> list_in(Json::Value const& it,
                                                char const* name);
[[nodiscard]] base::result<std::vector<std::string>>
texts_in(Json::Value const& it, char const* name);
[[nodiscard]] base::result<model::endpoint_kind>
endpoint_kind_in(Json::Value const& it, char const* name);

} // namespace berylhill::configuration
