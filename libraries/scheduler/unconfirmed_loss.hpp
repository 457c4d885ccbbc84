#pragma once

#include <cstdint>
#include <string>

namespace berylhill::scheduler
{

/// An attempt whose instance was silent until its lease had expired: it may
/// have crashed or merely been out of reach. A value.
struct unconfirmed_loss
{
    std::uint32_t run{0};
    std::string instance;

    friend bool operator==(unconfirmed_loss const&,
                           unconfirmed_loss const&) = default;
};

} // namespace berylhill::scheduler
