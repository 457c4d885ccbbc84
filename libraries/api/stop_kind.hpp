#pragma once

#include <base/result.hpp>
#include <model/endpoint.hpp>

#include <string_view>

namespace berylhill::api
{

/// The word in `/v1/stops`: `instance` for an entry, `worker` or `minion`.
[[nodiscard]] std::string_view stop_kind_name(model::endpoint_kind it) noexcept;

/// Fails with `invalid`.
[[nodiscard]] base::result<model::endpoint_kind>
stop_kind_from(std::string_view word);

} // namespace berylhill::api
