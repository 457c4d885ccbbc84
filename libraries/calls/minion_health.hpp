#pragma once

#include <base/time.hpp>

#include <cstdint>

namespace berylhill::calls
{

/// Thresholds for ejecting a minion and for returning it to use.
struct health_settings
{
    /// Number of ended calls before a minion is judged.
    std::int32_t min_calls{5};
    /// Failure rate from which a minion is ejected, if it is also at least
    /// twice that of its peers.
    double failure_threshold{0.4};
    /// A minion is ejected when it is slower than the median of its peers by
    /// this factor.
    double slow_factor{3};
    /// A call that runs longer than the median of the peers by this factor
    /// counts as slow before it ends, so that a minion that has stopped
    /// answering is noticed before the deadline.
    double unresponsive_factor{8};
    base::duration min_silence{std::chrono::milliseconds{100}};
    base::duration first_ejection{std::chrono::seconds{2}};
    base::duration max_ejection{std::chrono::seconds{60}};
    /// Maximum fraction of a group's minions that is ejected at a time; the
    /// last one is never ejected.
    double max_ejected_fraction{0.5};
    /// Successful answers that a returning minion must give, with one call at a
    /// time.
    std::int32_t trial_calls{3};
    /// Time from the end of the trial until all slots are used again.
    base::duration slow_start{std::chrono::seconds{5}};

    friend bool operator==(health_settings const&,
                           health_settings const&) = default;
};

enum class health_state : std::uint8_t
{
    active,  ///< Takes calls; after a trial the number of usable slots grows
             ///< gradually.
    ejected, ///< Takes no calls until the ejection time is over.
    probing, ///< Takes no calls; being checked on a new connection.
    trial,   ///< Takes one call at a time.
};

enum class call_end : std::uint8_t
{
    succeeded,
    failed,    ///< Including answers that report a server error.
    timed_out, ///< No complete answer arrived.
};

/// Health statistics of one minion, and whether it takes calls. Not
/// thread-safe.
class minion_health
{
public:
    explicit minion_health(health_settings const& settings)
        : m_settings{settings}
    {
    }

    /// Records the end of a call. `run` is used for successful answers only: a
    /// call that fails immediately or was given up on does not show how fast
    /// answers are.
    void ended(call_end end, base::duration run, base::instant now);

    /// Records a successful answer to a call that had been given up on.
    void answered_late(base::duration run, base::instant now);

    /// Ejects the minion for a time that doubles with each ejection.
    void eject(base::instant now);

    /// Starts a probe if the minion is ejected and its ejection time is over.
    /// Returns whether it did.
    [[nodiscard]] bool start_probe(base::instant now);

    /// Records the result of a probe: whether the minion answered.
    void probed(bool there, base::instant now);

    /// How many of `slots` may be used now.
    [[nodiscard]] std::int32_t usable(std::int32_t slots,
                                      base::instant now) const;

    [[nodiscard]] health_state state() const noexcept
    {
        return m_state;
    }

    /// Whether enough calls have ended to judge the minion.
    [[nodiscard]] bool has_enough_calls() const noexcept
    {
        return m_ended_calls >= m_settings.min_calls;
    }

    /// Smoothed failure rate.
    [[nodiscard]] double failure_rate() const noexcept
    {
        return m_failure_rate;
    }

    /// Smoothed running time of its calls; 0 before the first.
    [[nodiscard]] base::duration run_time() const noexcept
    {
        return m_run_time;
    }

    /// Time of the last successful answer.
    [[nodiscard]] base::instant last_success() const noexcept
    {
        return m_last_success;
    }

    /// End of the ejection, which is also the time of the next probe.
    [[nodiscard]] base::instant ejected_until() const noexcept
    {
        return m_ejected_until;
    }

private:
    void update_run_time(base::duration run);

    health_settings m_settings;
    health_state m_state{health_state::active};
    std::int32_t m_ended_calls{0};
    double m_failure_rate{0};
    base::duration m_run_time{0};
    std::int32_t m_ejections{0};
    std::int32_t m_trial_successes{0};
    base::instant m_ejected_until;
    /// When the last trial succeeded; the number of usable slots grows from
    /// then on.
    base::instant m_returned_at;
    bool m_growing{false};
    base::instant m_last_ejected;
    base::instant m_last_success;
};

} // namespace berylhill::calls
