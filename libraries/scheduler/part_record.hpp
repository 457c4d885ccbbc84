#pragma once

#include <base/result.hpp>
#include <scheduler/job.hpp>
#include <scheduler/record.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace berylhill::scheduler
{

/// Encodes a part of the state of an unfinished job; empty if there is nothing
/// to store. Precondition: the state is partitioned. Pure; thread-safe.
[[nodiscard]] std::string part_value(job const& of, state_part const& it);

/// Adds what a record of a part says to the job, whose head has been read. A
/// part of an occurrence that is not known yet opens it, as due `now`. Fails
/// with `invalid` if the value does not fit the job.
[[nodiscard]] base::result<void> read_part_value(std::string_view value,
                                                 state_part const& part,
                                                 base::instant now,
                                                 job& into);

/// Adds the attempts that a record of a part names to those of a finished job
/// that may still be running, and keeps the part. Fails with `invalid`.
[[nodiscard]] base::result<void> read_remaining_attempts(std::string_view value,
                                                         state_part const& part,
                                                         job& into);

/// The records that bring the store up to date with the job, in the order in
/// which they have to be stored: after any number of them, a successor restores
/// a state from which every promise can be kept. What is new is therefore
/// written before what it replaces is deleted, and an end before anything else.
/// Precondition: the state is partitioned, and its last batch was reported as
/// stored or as not stored. Not thread-safe.
[[nodiscard]] std::vector<record> take_part_records(job& it);

/// The keys of all records that the store may have of the job, in the order in
/// which they have to be deleted. Precondition: the state is partitioned.
[[nodiscard]] std::vector<std::string> keys_to_delete(job const& it);

} // namespace berylhill::scheduler
