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

/// Decodes the records that the operator and the instances write into the
/// store. Pure; thread-safe.
class documents
{
public:
    documents() = default;
    documents(documents const&) = delete;
    documents& operator=(documents const&) = delete;
    virtual ~documents() = default;

    /// Returns the configuration if `key` is its key, otherwise nothing. Fails
    /// with `invalid` if the value cannot be read.
    [[nodiscard]] virtual base::result<
        std::optional<workload::cell_configuration>>
    configuration(std::string_view key, std::string_view value) const = 0;

    /// Returns the id of the instance that this entry describes, without the
    /// birth of its life. Also valid for entries with an empty value, which
    /// remove the instance.
    [[nodiscard]] virtual std::string
    instance_id(std::string_view key) const = 0;

    /// Decodes the entry of an instance. Fails with `invalid`.
    [[nodiscard]] virtual base::result<scheduler::instance_info>
    instance(std::string_view key, std::string_view value) const = 0;
};

} // namespace berylhill::cell
