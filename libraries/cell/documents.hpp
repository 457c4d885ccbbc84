#pragma once

#include <base/result.hpp>
#include <scheduler/instance.hpp>
#include <workload/cell_configuration.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace berylhill::cell
{

/// Reads what the operator and the instances write into the store. Pure;
/// thread-safe.
class documents
{
public:
    documents() = default;
    documents(documents const&) = delete;
    documents& operator=(documents const&) = delete;
    virtual ~documents() = default;

    /// The configuration, where `key` is its key. Fails with `invalid` where
    /// the value cannot be read.
    [[nodiscard]] virtual base::result<
        std::optional<workload::cell_configuration>>
    configuration(std::string_view key, std::string_view value) const = 0;

    /// The instance that this entry is about; its value may be empty, which
    /// says that the instance is gone.
    [[nodiscard]] virtual std::string
    instance_id(std::string_view key) const = 0;

    /// Fails with `invalid`.
    [[nodiscard]] virtual base::result<scheduler::instance_info>
    instance(std::string_view key, std::string_view value) const = 0;
};

} // namespace berylhill::cell
