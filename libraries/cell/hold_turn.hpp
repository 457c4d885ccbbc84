#pragma once

#include <base/time.hpp>

#include <cstdint>

namespace berylhill::cell
{

/// When the next question to one instance is due. An instance answers when
/// something ends there, and repeats its ends until it is told that they are
/// stored; so after a report with ends the next question waits until it can say
/// that. The load that this answers: hundreds of ends a second on instances
/// that run eight tasks each, where each question is paid for. Pure. Not
/// thread-safe.
class hold_turn
{
public:
    /// `stored` batches have been stored so far.
    [[nodiscard]] bool due(base::instant now, std::uint64_t stored) const;

    [[nodiscard]] bool asking() const noexcept
    {
        return m_asking;
    }

    void asked() noexcept
    {
        m_asking = true;
    }

    /// It reported; `batch` is the one that holds the ends it listed, 0 where
    /// it listed none. The next question is due `rest` later.
    void reported(base::instant now,
                  std::uint64_t batch,
                  base::duration rest = base::duration{0});

    /// It gave no report.
    void failed(base::instant now);

    /// Something is to be heard from it: a rest is over.
    void wake() noexcept
    {
        m_next = {};
    }

private:
    bool m_asking{false};
    std::uint64_t m_batch{0};
    base::instant m_next{};
};

} // namespace berylhill::cell
