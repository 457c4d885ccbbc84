#pragma once

#include <model/endpoint.hpp>

#include <cstdint>
#include <optional>
#include <string>

/// Units of ownership by name: a rack of workers, a handful of minions, a
/// shard of jobs.
namespace berylhill::entry
{

enum class unit_kind : std::uint8_t
{
    workers,
    minions,
    jobs,
};

/// Groups of minions that each service is split into. Fixed, so that a
/// minion's group does not change when others come and go.
constexpr std::uint64_t minion_groups_per_service = 8;

/// `workers/<zone>/<rack>` or `minions/<service>/<n>`; empty for an entry.
[[nodiscard]] std::string unit_of(model::endpoint const& it);

/// `jobs/<shard>`.
[[nodiscard]] std::string jobs_unit(std::int64_t shard);

/// The shard that a contract's jobs are in.
[[nodiscard]] std::int64_t shard_of_contract(std::string const& contract,
                                             std::int64_t shards);

/// A fresh job id, which names its shard: `j<shard>-<random>`.
[[nodiscard]] std::string new_job_id(std::int64_t shard);

/// Empty for a text that is no job id of ours.
[[nodiscard]] std::optional<std::int64_t> shard_of_job(std::string const& job);

/// Empty for a name that is no unit's.
[[nodiscard]] std::optional<unit_kind> kind_of_unit(std::string const& unit);

/// Precondition: `unit` is a `jobs` unit.
[[nodiscard]] std::int64_t shard_of_unit(std::string const& unit);

} // namespace berylhill::entry
