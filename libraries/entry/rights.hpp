#pragma once

#include <ownership/participant.hpp>

#include <mutex>
#include <optional>
#include <string>
#include <utility>

namespace berylhill::entry
{

/// What this process may do for which unit; shared by all threads. Thread-safe.
class rights
{
public:
    rights(ownership::participant_options options, base::instant now)
        : m_tenure{std::move(options), now}
    {
    }

    /// Runs `change` on the state machine, alone. `change` must not block.
    template <class Function>
    auto with(Function&& change)
    {
        std::lock_guard const lock{m_mutex};
        return std::forward<Function>(change)(m_tenure);
    }

    /// Ask immediately before each send.
    [[nodiscard]] std::optional<std::int64_t> may_act(std::string const& unit,
                                                      base::instant now) const
    {
        std::lock_guard const lock{m_mutex};
        return m_tenure.active_epoch(unit, now);
    }

    /// The incarnation that owns the unit; empty where none does.
    [[nodiscard]] std::string owner_of(std::string const& unit) const
    {
        std::lock_guard const lock{m_mutex};
        return m_tenure.owner_of(unit).value_or(std::string{});
    }

    /// The epoch of the unit's owner by the log; -1 where it has none.
    [[nodiscard]] std::int64_t epoch_of(std::string const& unit) const
    {
        std::lock_guard const lock{m_mutex};
        auto const* const it = m_tenure.table().owner_of(unit);
        return it == nullptr ? -1 : it->epoch;
    }

private:
    mutable std::mutex m_mutex;
    ownership::participant m_tenure;
};

} // namespace berylhill::entry
