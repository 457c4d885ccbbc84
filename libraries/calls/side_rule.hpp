#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace berylhill::calls
{

/// Which data centre serves a contract's work, while contracts move between
/// two. A change counts from its offset in the configuration log on: work
/// accepted before it finishes where it is, work accepted after it goes to the
/// new side. As the side follows from the offset alone, each request has one
/// side, whichever entry is asked, and nothing is done on both. Not
/// thread-safe.
class side_rule
{
public:
    /// The contract's record at `offset` names `side`. Records may come again
    /// and in any order; a record that is known already changes nothing.
    void learn(std::string const& contract,
               std::int64_t offset,
               std::string const& side);

    /// The side of a request that was accepted when configuration up to and
    /// including `accepted_at` was in force; empty when the contract did not
    /// exist then.
    [[nodiscard]] std::string side_of(std::string const& contract,
                                      std::int64_t accepted_at) const;

    /// Forgets what only requests accepted before `offset` need. Call with an
    /// offset older than every request that can still be asked for.
    void forget_before(std::int64_t offset);

private:
    /// Side by the offset from which it counts.
    using history = std::map<std::int64_t, std::string>;

    std::unordered_map<std::string, history> m_histories;
};

} // namespace berylhill::calls
