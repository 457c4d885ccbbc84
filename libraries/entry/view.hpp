#pragma once

#include <base/time.hpp>
#include <calls/group_digest.hpp>
#include <model/endpoint.hpp>
#include <placement/group_digest.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace berylhill::entry
{

/// Another entry, or this one, as its heartbeats show it. A value.
struct peer
{
    std::string incarnation;
    std::string instance;
    std::string zone;
    std::string peer_address;
    std::string http_address;
    std::int64_t configuration_offset{-1};
    bool leaving{false};
    base::instant heard{};
};

/// A rack's digest, and under which ownership it was made.
struct worker_group_view
{
    placement::group_digest digest;
    std::string owner;
    std::int64_t epoch{0};
};

/// What this process knows of the cell at one instant. Immutable once
/// published.
struct view_snapshot
{
    /// The platform's list, with the announced stops of operators applied.
    std::vector<model::endpoint> endpoints;
    /// By incarnation.
    std::map<std::string, peer> peers;
    /// By unit.
    std::map<std::string, worker_group_view> worker_groups;
};

/// Holds the newest snapshot. Thread-safe.
class view_store
{
public:
    [[nodiscard]] std::shared_ptr<view_snapshot const> get() const
    {
        std::lock_guard const lock{m_mutex};
        return m_snapshot;
    }

    void set(std::shared_ptr<view_snapshot const> it)
    {
        std::lock_guard const lock{m_mutex};
        m_snapshot = std::move(it);
    }

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<view_snapshot const> m_snapshot{
        std::make_shared<view_snapshot const>()};
};

/// Digests of the units that this process owns, put here by their actors and
/// sent along with heartbeats. Thread-safe.
class own_digests
{
public:
    void set(std::string const& unit, worker_group_view it)
    {
        std::lock_guard const lock{m_mutex};
        m_workers.insert_or_assign(unit, std::move(it));
    }

    void set(std::string const& unit, calls::group_digest it)
    {
        std::lock_guard const lock{m_mutex};
        m_minions.insert_or_assign(unit, std::move(it));
    }

    void remove(std::string const& unit)
    {
        std::lock_guard const lock{m_mutex};
        m_workers.erase(unit);
        m_minions.erase(unit);
    }

    [[nodiscard]] std::optional<calls::group_digest>
    minion_group(std::string const& unit) const
    {
        std::lock_guard const lock{m_mutex};
        auto const it = m_minions.find(unit);
        if (it == m_minions.end())
        {
            return std::nullopt;
        }
        return it->second;
    }

    [[nodiscard]] std::map<std::string, worker_group_view> workers() const
    {
        std::lock_guard const lock{m_mutex};
        return m_workers;
    }

    [[nodiscard]] std::map<std::string, calls::group_digest> minions() const
    {
        std::lock_guard const lock{m_mutex};
        return m_minions;
    }

private:
    mutable std::mutex m_mutex;
    std::map<std::string, worker_group_view> m_workers;
    std::map<std::string, calls::group_digest> m_minions;
};

} // namespace berylhill::entry
