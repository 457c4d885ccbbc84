#pragma once

#include <base/time.hpp>

#include <cstdint>

namespace berylhill::calls
{

/// How a minion's peers are compared with it, and what follows.
struct health_settings
{
    /// Calls that must have ended before a minion is judged.
    std::int32_t least_calls{5};
    /// Ejected when failing this part of its calls, and twice its peers' part.
    double failing_part{0.4};
    /// Ejected when slower than its peers' median by this factor.
    double slow_factor{3};
    /// A call that runs longer than its peers' median by this factor counts
    /// as slow before it ends: a minion gone silent is noticed without
    /// waiting for the deadline.
    double silent_factor{8};
    base::duration least_silence{std::chrono::milliseconds{100}};
    base::duration first_ejection{std::chrono::seconds{2}};
    base::duration longest_ejection{std::chrono::seconds{60}};
    /// At most this part of a group's minions is out at a time, and never the
    /// last one.
    double most_ejected{0.5};
    /// Good answers a returning minion gives one at a time.
    std::int32_t trial_calls{3};
    /// From the trial's end until all slots are used again.
    base::duration slow_start{std::chrono::seconds{5}};

    friend bool operator==(health_settings const&,
                           health_settings const&) = default;
};

enum class health_state : std::uint8_t
{
    in,      ///< Takes calls; after a trial, more from second to second.
    ejected, ///< Takes none until its time is over.
    probing, ///< Takes none; asked on a new connection whether it is there.
    trial,   ///< Takes one call at a time.
};

enum class call_end : std::uint8_t
{
    succeeded,
    failed,    ///< Also an answer that says the server failed.
    timed_out, ///< No whole answer came.
};

/// What is known of one minion's answers, and whether it takes calls. Not
/// thread-safe.
class minion_health
{
public:
    explicit minion_health(health_settings const& settings)
        : m_settings{settings}
    {
    }

    /// `run` counts for good answers only: a call that fails at once, or was
    /// given up on, says nothing of how fast answers are.
    void ended(call_end end, base::duration run, base::instant now);

    /// An answer to a call that had been given up on.
    void answered_late(base::duration run, base::instant now);

    /// Takes it out for a time that doubles with each ejection.
    void eject(base::instant now);

    /// Ejected and its time is over: becomes `probing`. Returns whether it
    /// did.
    [[nodiscard]] bool start_probe(base::instant now);

    /// The answer to a probe came, or did not.
    void probed(bool there, base::instant now);

    /// How many of `slots` it may use now.
    [[nodiscard]] std::int32_t usable(std::int32_t slots,
                                      base::instant now) const;

    [[nodiscard]] health_state state() const noexcept
    {
        return m_state;
    }

    /// Enough calls have ended to judge it.
    [[nodiscard]] bool known() const noexcept
    {
        return m_ended >= m_settings.least_calls;
    }

    /// The part of its calls that failed, smoothed.
    [[nodiscard]] double failing() const noexcept
    {
        return m_failing;
    }

    /// What its calls take, smoothed; 0 before the first.
    [[nodiscard]] base::duration run() const noexcept
    {
        return m_run;
    }

    /// When the last good answer came.
    [[nodiscard]] base::instant last_good() const noexcept
    {
        return m_last_good;
    }

    /// Until when it is ejected; also the time of its next probe.
    [[nodiscard]] base::instant until() const noexcept
    {
        return m_until;
    }

private:
    void learn_run(base::duration run);

    health_settings m_settings;
    health_state m_state{health_state::in};
    std::int32_t m_ended{0};
    double m_failing{0};
    base::duration m_run{0};
    std::int32_t m_ejections{0};
    std::int32_t m_trial_good{0};
    base::instant m_until;
    /// When the last trial ended well; the slots grow from here.
    base::instant m_returned;
    bool m_growing{false};
    base::instant m_last_ejected;
    base::instant m_last_good;
};

} // namespace berylhill::calls
