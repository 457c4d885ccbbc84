#pragma once

#include <cell/configuration_state.hpp>

#include <cstdint>
#include <optional>

namespace berylhill::cell
{

enum class fetch_outcome : std::uint8_t
{
    received,
    /// The process was not reached, or already sends as many copies as it may.
    rejected,
    /// No answer, or an unreadable one.
    failed,
};

/// Decides when a process that cannot read the store fetches the configuration
/// from another process. The version in force is part of the messages between
/// processes, and a process with an older version fetches the newer one.
///
/// Needed where the store serves some processes and not others while routes and
/// keys are added and removed. A process that reaches the store reads each
/// version there within milliseconds and fetches nothing.
///
/// Pure. Not thread-safe.
class configuration_propagation
{
public:
    configuration_propagation();

    /// A read reached the end of the operators' log: this process had the
    /// newest version at `as_of`.
    void on_store_read(base::instant as_of)
    {
        confirm(as_of);
    }

    /// Another process reported its version in a request. Returns whether to
    /// fetch that version now. Precondition: `own` is the version of this
    /// process.
    [[nodiscard]] bool
    on_version_heard(std::int64_t version, std::int64_t own, base::instant now);

    /// As above, for a version reported in the answer to a request that was
    /// sent at `asked_at`. The reported age is counted from then.
    [[nodiscard]] bool on_version_heard(configuration_age const& it,
                                        base::instant asked_at,
                                        std::int64_t own,
                                        base::instant now);

    /// A fetch has ended.
    void on_fetch_ended(fetch_outcome it);

    /// How long to wait for the first byte of a fetch's answer.
    [[nodiscard]] base::duration fetch_timeout() const noexcept
    {
        return m_fetch_timeout;
    }

    /// This process now has this version.
    void on_version_installed(std::int64_t version);

    /// The newest version that another process has named.
    [[nodiscard]] std::int64_t newest() const noexcept
    {
        return m_newest;
    }

    /// How long this process has known of a newer version than its own; 0 if it
    /// knows of none.
    [[nodiscard]] base::duration behind(base::instant now) const;

    /// How long ago the version of this process was known to be the newest.
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
