#pragma once

#include <base/time.hpp>

#include <cstdint>
#include <optional>
#include <string>

/// Leases that let a worker run its tasks.
namespace berylhill::lease
{

struct lease_options
{
    /// Counted from the worker's clock in its last answer.
    base::duration length{std::chrono::seconds{10}};
    /// Added to the end of a lease before it counts as expired, because the
    /// worker takes time to stop its tasks.
    base::duration margin{std::chrono::milliseconds{500}};
    /// Largest difference between the rates of two clocks, in parts per
    /// million.
    std::int64_t max_drift_ppm{500};

    friend auto operator<=>(lease_options const&,
                            lease_options const&) = default;
};

/// What a worker's answer tells about its process.
enum class answer_status : std::uint8_t
{
    same_process,
    /// The process has restarted; tasks of the old process are gone.
    new_process,
    /// The answer is older than one already received, or comes from a replaced
    /// process; it is ignored.
    stale,
};

/// Bounds of a worker's clock at one instant of the local clock, in
/// microseconds.
struct clock_bounds
{
    std::int64_t earliest{0};
    std::int64_t latest{0};

    friend auto operator<=>(clock_bounds const&, clock_bounds const&) = default;
};

/// The lease of one worker as tracked by the owner of its group. Not
/// thread-safe.
///
/// A renewal is valid until the worker's clock reads c + `length`, where c is
/// the clock in the worker's last answer. A renewal that is delayed in a
/// buffer, or sent by a process that was paused, therefore cannot extend a
/// lease.
class worker_lease
{
public:
    /// `since` is the instant from which this owner acts for the group. Earlier
    /// owners have not renewed leases after it.
    worker_lease(lease_options options, base::instant since);

    /// The end of the lease that the next request grants, on the worker's clock
    /// in microseconds. 0 before the first answer: such a request only asks for
    /// the inventory.
    [[nodiscard]] std::int64_t renew_until() const noexcept;

    /// A request with this renewal is about to be sent, or may have been sent.
    void renewal_sent(std::int64_t renewed_until);

    /// A complete answer to the request sent at `sent_at` was received; `clock`
    /// is the worker's clock in microseconds.
    answer_status answer_received(std::string const& incarnation,
                                  std::int64_t clock,
                                  base::instant sent_at,
                                  base::instant received_at);

    /// The instant from which no task of this worker can still be running if it
    /// does not answer again.
    [[nodiscard]] base::instant expires_at() const;

    /// Returns whether all leases of the worker have certainly expired.
    [[nodiscard]] bool is_expired(base::instant now) const
    {
        return now >= expires_at();
    }

    /// Bounds of the worker's clock at `now`; empty before the first answer.
    [[nodiscard]] std::optional<clock_bounds>
    estimate_clock(base::instant now) const;

    [[nodiscard]] bool has_answered() const noexcept
    {
        return m_last.has_value();
    }
    [[nodiscard]] std::string const& incarnation() const noexcept
    {
        return m_incarnation;
    }
    /// When the last answer was received; empty before the first.
    [[nodiscard]] std::optional<base::instant> last_answer_at() const;

    friend bool operator==(worker_lease const&, worker_lease const&) = default;

private:
    struct clock_reading
    {
        std::int64_t clock{0};
        base::instant sent_at{};
        base::instant received_at{};

        friend bool operator==(clock_reading const&,
                               clock_reading const&) = default;
    };

    /// Adds the largest clock drift to the duration.
    [[nodiscard]] base::duration with_drift(base::duration it) const;

    lease_options m_options;
    base::instant m_since{};
    std::string m_incarnation;
    std::string m_replaced_incarnation;
    std::optional<clock_reading> m_last;
    /// Latest end of a lease sent to the worker's current process, on the
    /// worker's clock.
    std::int64_t m_renewed_until{0};
};

} // namespace berylhill::lease
