#pragma once

#include <base/time.hpp>

#include <cstdint>

namespace berylhill::cell
{

/// A claim of this process that is stored. A value.
struct won_claim
{
    /// The fencing token.
    std::uint64_t token{0};
    /// The offset after the claim.
    std::uint64_t next{0};
    /// Before the claim was sent: a later owner's claim was stored after this
    /// time.
    base::instant sent_at{};

    friend bool operator==(won_claim const&, won_claim const&) = default;
};

} // namespace berylhill::cell
