#pragma once

#include <base/time.hpp>

#include <cstdint>

namespace berylhill::cell
{

/// Decides when the next hold request to one instance is due. An instance
/// answers when an attempt ends, and repeats ended attempts until they are
/// acknowledged, which the owner does once they are stored; so after a report
/// with ended attempts the next request waits until it can acknowledge them, or
/// until the leases of what still runs there have to be renewed.
/// This keeps the number of requests, which are billed, low at hundreds of
/// ended attempts a second on instances that run eight tasks each. Pure. Not
/// thread-safe.
class hold_schedule
{
public:
    /// `stored` is the number of batches stored so far.
    [[nodiscard]] bool due(base::instant now, std::uint64_t stored) const;

    [[nodiscard]] bool request_in_flight() const noexcept
    {
        return m_request_in_flight;
    }

    void request_sent() noexcept
    {
        m_request_in_flight = true;
    }

    /// The instance reported. `batch` is the batch that holds the ended
    /// attempts in its report, 0 if there were none. The next request is due
    /// after `rest`.
    void reported(base::instant now,
                  std::uint64_t batch,
                  base::duration rest = base::duration{0});

    /// The request failed.
    void failed(base::instant now);

    /// Ends the rest: the next request is due at once.
    void wake() noexcept
    {
        m_next = {};
    }

private:
    bool m_request_in_flight{false};
    std::uint64_t m_batch{0};
    base::instant m_next{};
    /// When the next request is due at the latest.
    base::instant m_latest{};
};

} // namespace berylhill::cell
