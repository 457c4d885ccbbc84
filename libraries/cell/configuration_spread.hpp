#pragma once

#include <cell/configuration_state.hpp>

#include <cstdint>
#include <optional>

namespace berylhill::cell
{

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
    /// The store answered a read: what this process has is the newest.
    void read_store(base::instant now)
    {
        confirm(now);
    }

    /// Another process has this. Returns whether to fetch it there now.
    /// Precondition: `own` is the version that this process has.
    [[nodiscard]] bool
    heard(configuration_age const& it, std::int64_t own, base::instant now);

    /// A fetch has ended, with or without an answer.
    void fetched()
    {
        m_fetching = false;
    }

    /// This process has this version now.
    void has(std::int64_t version);

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
};

} // namespace berylhill::cell
