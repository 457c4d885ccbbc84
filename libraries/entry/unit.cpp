#include <entry/unit.hpp>

#include <base/hash.hpp>

#include <charconv>

namespace berylhill::entry
{

namespace
{

constexpr std::string_view s_jobs = "jobs/";
constexpr std::string_view s_workers = "workers/";
constexpr std::string_view s_minions = "minions/";

std::optional<std::int64_t> number_from(std::string_view text)
{
    std::int64_t n = 0;
    auto const* const end = text.data() + text.size();
    auto const it = std::from_chars(text.data(), end, n);
    if (it.ec != std::errc{} || it.ptr != end || n < 0)
    {
        return std::nullopt;
    }
    return n;
}

} // namespace

std::string unit_of(model::endpoint const& it)
{
    switch (it.kind)
    {
    case model::endpoint_kind::worker:
        return std::string{s_workers} + it.zone + "/" + it.rack;
    case model::endpoint_kind::minion:
        return std::string{s_minions} + it.service + "/" +
               std::to_string(base::hash_of(it.id) % minion_groups_per_service);
    case model::endpoint_kind::entry:
        break;
    }
    return {};
}

std::string jobs_unit(std::int64_t shard)
{
    return std::string{s_jobs} + std::to_string(shard);
}

std::int64_t shard_of_contract(std::string const& contract, std::int64_t shards)
{
    return static_cast<std::int64_t>(base::hash_of(contract) %
                                     static_cast<std::uint64_t>(shards));
}

std::string new_job_id(std::int64_t shard)
{
    return "j" + std::to_string(shard) + "-" + base::random_id();
}

std::optional<std::int64_t> shard_of_job(std::string const& job)
{
    auto const dash = job.find('-');
    if (job.empty() || job.front() != 'j' || dash == std::string::npos)
    {
        return std::nullopt;
    }
    return number_from(std::string_view{job}.substr(1, dash - 1));
}

std::optional<unit_kind> kind_of_unit(std::string const& unit)
{
    if (unit.starts_with(s_workers))
    {
        return unit_kind::workers;
    }
    if (unit.starts_with(s_minions))
    {
        return unit_kind::minions;
    }
    if (unit.starts_with(s_jobs))
    {
        return unit_kind::jobs;
    }
    return std::nullopt;
}

std::int64_t shard_of_unit(std::string const& unit)
{
    return number_from(std::string_view{unit}.substr(s_jobs.size()))
        .value_or(0);
}

} // namespace berylhill::entry
