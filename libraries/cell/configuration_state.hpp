#pragma once

#include <base/time.hpp>

#include <cstdint>
#include <string>

namespace berylhill::cell
{

/// A version of the configuration that a process has, and how long ago it was
/// known to be the newest. A value.
struct configuration_age
{
    /// 0: none yet.
    std::int64_t version{0};
    base::duration age{0};

    friend bool operator==(configuration_age const&,
                           configuration_age const&) = default;
};

/// The configuration as the operator wrote it. A value.
struct configuration_record
{
    std::string key;
    std::string value;
    /// All records of the operators' log before this offset are older, or it.
    std::uint64_t next{0};

    friend bool operator==(configuration_record const&,
                           configuration_record const&) = default;
};

} // namespace berylhill::cell
