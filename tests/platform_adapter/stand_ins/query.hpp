#pragma once

#include <string>

namespace berylhill::platform_test
{

/// The value of a name in a request's query; empty where there is none.
inline std::string query_value(std::string const& target,
                               std::string const& name)
{
    for (auto const* const before : {"?", "&"})
    {
        auto const at = target.find(before + name + "=");
        if (at != std::string::npos)
        {
            auto const from = at + name.size() + 2;
            return target.substr(from, target.find('&', from) - from);
        }
    }
    return {};
}

} // namespace berylhill::platform_test
