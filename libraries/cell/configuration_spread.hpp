#pragma once

#include <cell/configuration_state.hpp>

#include <cstdint>
#include <optional>

namespace berylhill::cell
{

enum class fetch_end : std::uint8_t
{
    received,
    /// It was not reached, or has copies enough under way.
    rejected,
    /// No answer, or none that can be read.
    failed,
};

/// How the configuration gets to a process that the store turns away: the
/// version in force travels with the questions and answers between processes,
/// and whoever is behind fetches it from one that has it.
///
/// Answers a store that serves some processes and not others while routes and
/// keys are added and taken away. A process that reaches the store reads each
/// version there within a few milliseconds, so it asks nobody.
///
/// Pure. Not thread-safe.
class configuration_spread
{
public:
    configuration_spread();

    /// A read reached the end of the operators' log: what this process has was
    /// the newest then.
    void on_store_read(base::instant as_of)
    {
        confirm(as_of);
    }

    /// Another process has this version, by its question. Returns whether to
    /// fetch it there now. Precondition: `own` is the version that this
    /// process has.
    [[nodiscard]] bool
    on_version_heard(std::int64_t version, std::int64_t own, base::instant now);

    /// As above, by its answer to a question that was sent at `asked_at`: what
    /// it says held then, at the earliest.
    [[nodiscard]] bool on_version_heard(configuration_age const& it,
                                        base::instant asked_at,
                                        std::int64_t own,
                                        base::instant now);

    /// A fetch has ended.
    void on_fetch_ended(fetch_end it);

    /// Until a fetch has to have begun to be answered.
    [[nodiscard]] base::duration fetch_timeout() const noexcept
    {
        return m_fetch_timeout;
    }

    /// This process has this version now.
    void on_version_installed(std::int64_t version);

    /// The newest version that another process has named.
    [[nodiscard]] std::int64_t newest() const noexcept
    {
        return m_newest;
    }

    /// How long this process has known of a newer version than its own.
    [[nodiscard]] base::duration behind(base::instant now) const;

    /// How long ago what this process has was known to be the newest.
    [[nodiscard]] base::duration age(base::instant now) const;

private:
    void confirm(base::instant at);

    std::optional<base::instant> m_confirmed_at;
    /// Since when a newer version is known to exist.
    std::optional<base::instant> m_behind_since;
    std::int64_t m_newest{0};
    bool m_fetching{false};
    base::duration m_fetch_timeout;
};

} // namespace berylhill::cell
