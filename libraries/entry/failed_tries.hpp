#pragma once

#include <base/result.hpp>

#include <optional>

namespace berylhill::entry
{

/// The failures of several tries of one request that changes something, each
/// sent after the one before had ended without an answer or as not taken. A
/// value.
class failed_tries
{
public:
    void add(base::failure const& it);

    /// How the request ended. A refusal of one try says nothing of another that
    /// got no answer, so it is `outcome_unknown` where there was such a one,
    /// and the last failure otherwise. Precondition: a failure was added.
    [[nodiscard]] base::failure outcome() const;

private:
    std::optional<base::failure> m_last;
    bool m_unknown{false};
};

} // namespace berylhill::entry
