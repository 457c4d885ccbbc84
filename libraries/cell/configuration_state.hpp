#pragma once

#include <base/time.hpp>

#include <cstdint>
#include <string>

namespace berylhill::cell
{

/// The configuration version of a process, and how long ago it was known to be
/// the newest. A value.
struct configuration_age
{
    /// 0: no configuration yet.
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
    /// Offset in the operators' log up to which this is the newest
    /// configuration.
    std::uint64_t next{0};

    friend bool operator==(configuration_record const&,
                           configuration_record const&) = default;
};

} // namespace berylhill::cell
