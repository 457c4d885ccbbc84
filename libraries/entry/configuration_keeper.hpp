#pragma once

#include <base/time.hpp>
#include <entry/view.hpp>

#include <cstdint>
#include <set>

namespace berylhill::entry
{

struct entry_node;

/// Writes that this process's own planned stop has come to its end, so that
/// the instance can be started again under its name. Blocks for a moment.
void record_own_stop(entry_node& self);

/// What one of the live entries does for all in the configuration stream: the
/// state again before retention drops it, and the end of stops whose endpoint
/// has left the platform's list. Two entries that both hold themselves for the
/// one do no harm, as the records say the same. Not thread-safe.
class configuration_keeper
{
public:
    explicit configuration_keeper(entry_node& self);

    /// Call about once a second, with a list that was just fetched.
    void keep(std::vector<model::endpoint> const& listed);

private:
    [[nodiscard]] bool is_first() const;
    void write_snapshot(base::instant now);
    void end_stops(std::vector<model::endpoint> const& listed);

    entry_node& m_node;
    base::instant m_snapshot_at;
    /// Announcements whose end this process has written.
    std::set<std::int64_t> m_ended;
};

} // namespace berylhill::entry
