#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace berylhill::platform_test
{

/// The topics that the operator and the instances write to.
inline constexpr char const* operators_topic = "keyed.op";
inline constexpr char const* instances_topic = "keyed.servers";
inline constexpr char const* configuration_key = "config";

/// The configuration as the operator writes it: a queue below `/NAME/` of host
/// `h` for each name, all of one service. It names `svc` and that service.
[[nodiscard]] std::string
configuration_document(int version,
                       std::vector<std::string> const& queues,
                       std::string const& service = "svc");

/// As above, with so many other queues that it has `bytes` at least.
[[nodiscard]] std::string configuration_document(
    int version, std::vector<std::string> const& queues, std::size_t bytes);

/// A client account of a configuration, and its keys. A value.
struct account_keys
{
    std::string account;
    std::vector<std::string> keys;

    friend bool operator==(account_keys const&, account_keys const&) = default;
};

/// As above, with client accounts.
[[nodiscard]] std::string
configuration_document(int version,
                       std::vector<std::string> const& queues,
                       std::vector<account_keys> const& accounts);

/// A job of two steps as a client hands it in: some tasks, and one after them.
[[nodiscard]] std::string job_document(std::int64_t cpu_millis,
                                       std::int64_t estimate_ms,
                                       std::size_t first_tasks = 2);

} // namespace berylhill::platform_test
