#pragma once

#include <base/time.hpp>
#include <configuration/state.hpp>

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace berylhill::entry
{

/// The contracts in force, by name.
using contract_map = std::map<std::string, configuration::contract_version>;

/// The configuration that is in force here. Thread-safe.
class configuration_store
{
public:
    /// Runs `change` on the state, alone, and wakes those who wait.
    void change(std::function<void(configuration::state&)> const& change);

    /// A copy of what is in force.
    [[nodiscard]] configuration::state state() const;

    /// The contracts, without a copy.
    [[nodiscard]] std::shared_ptr<contract_map const> contracts() const;

    /// The contract in force with this name.
    [[nodiscard]] std::optional<model::contract>
    contract(std::string const& name) const;

    [[nodiscard]] std::int64_t offset() const;

    /// Whether a stop is announced and has not ended.
    [[nodiscard]] bool is_stopping(model::endpoint_kind kind,
                                   std::string const& id) const;

    /// Waits for the verdict on an apply that this process has written; empty
    /// when it did not come within `timeout`.
    [[nodiscard]] std::optional<configuration::apply_verdict>
    wait_for_verdict(std::string const& id, base::duration timeout);

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    configuration::state m_state;
    std::shared_ptr<contract_map const> m_contracts{
        std::make_shared<contract_map const>()};
};

} // namespace berylhill::entry
