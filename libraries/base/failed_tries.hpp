#pragma once

#include <base/result.hpp>

#include <optional>

namespace berylhill::base
{

/// The failures of several tries of one request that changes something, each
/// sent after the one before had ended without an answer or as not taken. A
/// value.
class failed_tries
{
public:
    void add(failure const& it);

    /// Whether a try got no answer, so that it may have been carried out.
    [[nodiscard]] bool may_have_been_done() const noexcept
    {
        return m_unknown;
    }

    /// How the request ended. A refusal of one try says nothing of another that
    /// got no answer, so it is `outcome_unknown` where there was such a one,
    /// and the last failure otherwise. Precondition: a failure was added.
    [[nodiscard]] failure outcome() const;

private:
    std::optional<failure> m_last;
    bool m_unknown{false};
};

} // namespace berylhill::base
