#pragma once

/// The paths and headers of the HTTP interface, as docs/openapi.json has them.
/// Servers, the command line and tests take them from here.
namespace berylhill::api
{

inline constexpr char const* s_services = "/v1/services";
inline constexpr char const* s_jobs = "/v1/jobs";
inline constexpr char const* s_contracts = "/v1/contracts";
inline constexpr char const* s_contracts_apply = "/v1/contracts/apply";
inline constexpr char const* s_stops = "/v1/stops";
inline constexpr char const* s_status = "/v1/status";
inline constexpr char const* s_traces = "/v1/traces";
inline constexpr char const* s_health = "/v1/health";
inline constexpr char const* s_metrics = "/metrics";

inline constexpr char const* s_contract_header = "X-Contract";
inline constexpr char const* s_deadline_header = "X-Deadline-Ms";
inline constexpr char const* s_key_header = "Idempotency-Key";
inline constexpr char const* s_request_id_header = "X-Request-Id";
inline constexpr char const* s_trace_header = "traceparent";
inline constexpr char const* s_retry_header = "Retry-After";

inline constexpr char const* s_json_type = "application/json";
inline constexpr char const* s_problem_type = "application/problem+json";

} // namespace berylhill::api
