#pragma once

#include <base/time.hpp>

#include <cstdint>
#include <optional>
#include <string>

/// Leases of tasks on workers, and which attempt of a task may run.
namespace berylhill::lease
{

struct lease_options
{
    /// From the worker's clock in its last answer.
    base::duration length{std::chrono::seconds{10}};
    /// Added before a lease is taken for lapsed: for the worker's own delay in
    /// stopping.
    base::duration margin{std::chrono::milliseconds{500}};
    /// How much the clocks' rates may differ, in millionths.
    std::int64_t max_drift_ppm{500};

    friend auto operator<=>(lease_options const&,
                            lease_options const&) = default;
};

/// What an answer of a worker showed.
enum class answer_status : std::uint8_t
{
    same_process,
    /// The process began anew; whatever ran there before is gone.
    new_process,
    /// An answer that was overtaken by a later one, or is of a process that
    /// has been replaced; it tells nothing.
    stale,
};

/// Bounds of a worker's clock at one instant of ours.
struct clock_bounds
{
    std::int64_t earliest{0};
    std::int64_t latest{0};

    friend auto operator<=>(clock_bounds const&, clock_bounds const&) = default;
};

/// The group owner's view of one worker's lease. A value; not thread-safe.
///
/// A renewal says "until your clock reads c + length", with c the clock in the
/// worker's last answer. A renewal that lies in a buffer, or is sent by a
/// process that was paused, therefore cannot make a lease longer.
class worker_lease
{
public:
    /// `since`: the instant from which this owner acts for the group. Earlier
    /// owners have renewed nothing after it.
    worker_lease(lease_options options, base::instant since);

    /// What the next request renews to, on the worker's clock; 0, which only
    /// asks for the inventory, before the first answer.
    [[nodiscard]] std::int64_t renew_until() const noexcept;

    /// A request with this renewal is sent now, or may have been.
    void renewal_sent(std::int64_t renewed_until);

    /// A whole answer to the request sent at `sent_at`.
    answer_status answer_received(std::string const& incarnation,
                                  std::int64_t clock,
                                  base::instant sent_at,
                                  base::instant received_at);

    /// The instant from which no task of this worker can run any more if it
    /// stays silent.
    [[nodiscard]] base::instant expires_at() const;

    /// The silent worker's tasks have lapsed for sure.
    [[nodiscard]] bool is_expired(base::instant now) const
    {
        return now >= expires_at();
    }

    /// Empty before the first answer.
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
    /// When the last answer came; empty before the first.
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

    [[nodiscard]] base::duration with_drift(base::duration it) const;

    lease_options m_options;
    base::instant m_since{};
    std::string m_incarnation;
    std::string m_replaced_incarnation;
    std::optional<clock_reading> m_last;
    /// The furthest renewal of this process of the worker.
    std::int64_t m_renewed_until{0};
};

} // namespace berylhill::lease
