#pragma once

#include <workload/account_table.hpp>
#include <workload/queue_spec.hpp>

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace berylhill::workload
{

/// The configuration that the operator has put into force. A value.
struct cell_configuration
{
    /// 0: no configuration has been read yet.
    std::int64_t version{0};
    std::vector<queue_spec> queues;
    std::vector<service_spec> services;
    request_limits limits;
    /// The client accounts; empty if callers need no key.
    std::optional<account_table> accounts;

    friend bool operator==(cell_configuration const&,
                           cell_configuration const&) = default;

    /// The queue of this host with the longest prefix of `path`; null if there
    /// is none. Valid as long as the configuration.
    [[nodiscard]] queue_spec const* match_queue(std::string_view host,
                                                std::string_view path) const;

    [[nodiscard]] queue_spec const* find_queue(std::string_view name) const;

    [[nodiscard]] service_spec const* find_service(std::string_view name) const;
};

} // namespace berylhill::workload
