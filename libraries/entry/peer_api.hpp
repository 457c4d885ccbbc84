#pragma once

#include <base/result.hpp>

#include <json/value.h>

#include <functional>
#include <map>
#include <string>

namespace berylhill::entry
{

struct entry_node;

/// The methods that entries call at each other, and at themselves for units
/// that they own. Thread-safe once made; methods block.
class peer_api
{
public:
    using method = std::function<base::result<Json::Value>(Json::Value const&)>;

    explicit peer_api(entry_node& self);

    /// Fails with `not_found` for an unknown method, and as the method does.
    [[nodiscard]] base::result<Json::Value>
    run(std::string const& name, Json::Value const& parameters) const;

    [[nodiscard]] std::map<std::string, method> const& methods() const noexcept
    {
        return m_methods;
    }

private:
    void add_membership();
    void add_ownership();
    void add_workers();
    void add_jobs();

    entry_node& m_node;
    std::map<std::string, method> m_methods;
};

} // namespace berylhill::entry
