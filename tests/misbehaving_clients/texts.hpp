#pragma once

#include <cstddef>
#include <string>

namespace berylhill::clients_test
{

/// `it` again and again, in as many bytes as there are at most.
inline std::string repeated(std::string const& it, std::size_t bytes)
{
    std::string out;
    while (out.size() + it.size() <= bytes)
    {
        out += it;
    }
    return out;
}

/// What a client sends at a time of a part that does not end.
inline constexpr std::size_t piece = std::size_t{64} * 1'024;

} // namespace berylhill::clients_test
