#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace berylhill::calls
{

/// Which data centre (side) serves the work of a contract, while contracts move
/// between two of them. A change takes effect at its offset in the
/// configuration log: work accepted before it finishes where it is, work
/// accepted after it goes to the new side. As the side follows from the offset
/// alone, every entry assigns a request to the same side, and no work is done
/// on both. Not thread-safe.
class side_history
{
public:
    /// Adds the contract's configuration record at `offset`, which names
    /// `side`. Records may be added repeatedly and in any order; a known record
    /// is ignored.
    void add_change(std::string const& contract,
                    std::int64_t offset,
                    std::string const& side);

    /// The side of a request that was accepted when the configuration up to and
    /// including `accepted_at` was in force; empty if the contract did not
    /// exist then.
    [[nodiscard]] std::string side_of(std::string const& contract,
                                      std::int64_t accepted_at) const;

    /// Removes changes that only requests accepted before `offset` need.
    /// `offset` must be older than every request that can still be asked for.
    void remove_before(std::int64_t offset);

private:
    /// Sides, keyed by the offset from which they are in force.
    using history = std::map<std::int64_t, std::string>;

    std::unordered_map<std::string, history> m_changes;
};

} // namespace berylhill::calls
