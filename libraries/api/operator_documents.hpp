#pragma once

#include <configuration/state.hpp>

#include <json/value.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// The documents of the operators' interface, as docs/openapi.json has them:
/// what a server reads and answers. All functions are pure.
namespace berylhill::api
{

/// Reads the body of an apply and checks its contracts as `check` does. Fails
/// with `invalid` and a line for each finding. Where the body has no id, `id`
/// is empty and the caller makes one.
[[nodiscard]] base::result<configuration::apply_change>
apply_change_from(std::string const& body, std::int64_t now_us);

/// Reads the body of a stop's announcement. Fails with `invalid`.
[[nodiscard]] base::result<configuration::stop_change>
stop_change_from(std::string const& body, std::int64_t now_us);

/// `GET /v1/contracts`.
[[nodiscard]] Json::Value contracts_document(configuration::state const& it);

/// `GET /v1/contracts/{name}/history`. Fails with `not_found`.
[[nodiscard]] base::result<Json::Value>
history_document(configuration::state const& it, std::string const& name);

/// The 409 of an apply that lost: a problem with `conflicts`. Precondition:
/// not `won()`.
[[nodiscard]] std::string
conflict_body(configuration::apply_verdict const& verdict);

enum class stop_phase : std::uint8_t
{
    announced, ///< In the log.
    draining,  ///< It gets nothing new and still holds work.
    done,      ///< It holds nothing.
};

[[nodiscard]] std::string_view name_of(stop_phase it) noexcept;

/// `GET /v1/stops/{kind}/{id}`, and the answer to an announcement, where it is
/// not known yet how much work is left.
[[nodiscard]] Json::Value stop_document(configuration::planned_stop const& it,
                                        stop_phase phase,
                                        std::optional<std::int64_t> work_left);

} // namespace berylhill::api
