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

/// What the log says of one job. A value.
struct job_entry
{
    model::job_request request;
    std::int64_t accepted_at_us{0};
    std::set<std::int32_t> done;
    /// By task index: the newest attempt that may have been sent.
    std::map<std::int32_t, start_intent> intents;
    model::job_state state{model::job_state::queued};
    std::string detail;
    std::int64_t ended_at_us{0};

    friend bool operator==(job_entry const&, job_entry const&) = default;
};

/// The fold of one shard's stream: the same records give the same book in
/// every process. Pure; not thread-safe.
class job_table
{
public:
    /// Takes the next record of the stream. Returns whether it counts: records
    /// of an epoch below the highest that has opened do not.
    ///
    /// It guards against an owner that was superseded and whose append arrives
    /// late. The new owner has not seen that record, so a job in it would
    /// never run; void for every reader, it can be submitted again.
    bool apply(stamped_record const& it);

    /// Forgets everything, because retention dropped records that were not
    /// read; what is still wanted follows in `kept` records.
    void reset();

    /// Removes finished jobs whose retention, in seconds by contract, is over
    /// at `now_us`. Returns how many.
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
    /// Null where there is none. Valid until the next change.
    [[nodiscard]] job_entry const* find(std::string const& job) const;

    /// The job that was accepted first under this contract's key.
    [[nodiscard]] std::optional<std::string>
    job_of_key(std::string const& contract, std::string const& key) const;

    /// Everything as records, to be written again before retention drops it.
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
