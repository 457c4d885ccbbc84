#pragma once

#include <model/job.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace berylhill::entry
{

/// The attempts of a shard that may be running, with their rack and the epoch
/// of the rack's owner that answered for them. The end of an attempt that is
/// not contained has been processed. A value.
class placed_attempts
{
public:
    /// An order for the attempt goes to the rack. Changes nothing where the
    /// attempt is known.
    void ordered(model::attempt_id const& it, std::string const& group);

    /// The rack's owner of this epoch has answered an order for the attempt.
    void answered(model::attempt_id const& it, std::int64_t epoch);

    /// The rack's owner of this epoch counts the attempt. Returns whether it
    /// was known; it is from now on.
    bool counted(model::attempt_id const& it,
                 std::string const& group,
                 std::int64_t epoch);

    /// The attempt does not run any more, or never did. Returns whether it was
    /// known.
    bool ended(model::attempt_id const& it);

    /// Ends what an owner of the rack before `epoch` had answered for and its
    /// owner of `epoch` does not count, and returns it.
    std::vector<model::attempt_id>
    end_lost(std::string const& group,
             std::int64_t epoch,
             std::set<model::attempt_id> const& counted);

    [[nodiscard]] bool contains(model::attempt_id const& it) const;

private:
    struct place
    {
        std::string group;
        /// -1 while no order for it was answered.
        std::int64_t epoch{-1};
    };

    std::map<model::attempt_id, place> m_places;
};

} // namespace berylhill::entry
