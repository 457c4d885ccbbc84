#pragma once

#include <jobs/record.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace berylhill::jobs
{

/// State of one job as recorded in the log.
struct job_entry
{
    model::job_request request;
    std::int64_t accepted_at_us{0};
    std::set<std::int32_t> done;
    /// The latest attempt that may have been sent, by task index.
    std::map<std::int32_t, start_intent> intents;
    model::job_state state{model::job_state::queued};
    std::string detail;
    std::int64_t ended_at_us{0};

    friend bool operator==(job_entry const&, job_entry const&) = default;
};

/// The jobs of one shard, built by applying the records of its stream in order.
/// Applying the same records gives the same table in every process. Not
/// thread-safe.
class job_table
{
public:
    /// Applies the next record of the stream. Returns false, and ignores the
    /// record, if its epoch is below the highest epoch that has been opened.
    ///
    /// Such a record is a late append of a superseded owner. The new owner has
    /// not read it, so a job accepted in it would never run. As every reader
    /// ignores the record, the job can be submitted again.
    bool apply(stamped_record const& it);

    /// Clears the table after retention has deleted records that were not read.
    /// Jobs that are still needed follow as `job_snapshot` records.
    void reset();

    /// Removes finished jobs whose retention period has ended at `now_us`, in
    /// microseconds since 1970 in UTC, and returns how many. `retention_of`
    /// gives the period of a contract in seconds.
    std::size_t remove_expired(
        std::int64_t now_us,
        std::function<double(std::string const&)> const& retention_of);

    [[nodiscard]] std::int64_t epoch() const noexcept
    {
        return m_epoch;
    }
    [[nodiscard]] std::int32_t term() const noexcept
    {
        return m_term;
    }
    [[nodiscard]] std::map<std::string, job_entry> const& jobs() const noexcept
    {
        return m_jobs;
    }
    /// Returns null if the job is unknown. Valid until the next change.
    [[nodiscard]] job_entry const* find(std::string const& job) const;

    /// The first job accepted with this idempotency key of the contract.
    [[nodiscard]] std::optional<std::string>
    job_of_key(std::string const& contract, std::string const& key) const;

    /// All jobs as records, to be appended again before retention deletes the
    /// original ones.
    [[nodiscard]] std::vector<record> snapshot() const;

    friend bool operator==(job_table const&, job_table const&) = default;

private:
    using key_of_contract = std::pair<std::string, std::string>;

    void apply_record(shard_opened const& it);
    void apply_record(job_accepted const& it);
    void apply_record(start_intent const& it);
    void apply_record(task_done const& it);
    void apply_record(job_ended const& it);
    void apply_record(job_snapshot const& it);
    void add(std::string const& job, job_entry entry);

    std::int64_t m_epoch{-1};
    std::int32_t m_term{0};
    std::map<std::string, job_entry> m_jobs;
    std::map<key_of_contract, std::string> m_keys;
};

} // namespace berylhill::jobs
