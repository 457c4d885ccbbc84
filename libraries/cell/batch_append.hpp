#pragma once

#include <cell/append_limits.hpp>
#include <cell/reliable_append.hpp>
#include <scheduler/outcomes.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <vector>

namespace berylhill::cell
{

/// How a batch ended. A value.
struct batch_outcome
{
    /// If stored: all records but those of the rejected jobs are.
    reliable_append_outcome end{reliable_append_outcome::unknown};
    /// The offset after the last record that was stored.
    std::uint64_t next{0};
    std::vector<scheduler::rejected_job> rejected;
    /// See `reliable_append::confirmed_at`; empty if nothing is stored.
    std::optional<base::instant> confirmed_at;

    friend bool operator==(batch_outcome const&,
                           batch_outcome const&) = default;
};

/// Appends a batch in as many calls as the store's limits ask for, one after
/// the other, in the order of the records. If the store rejects a call for
/// good, its records are divided by their jobs and appended again, until those
/// of a single job are rejected: they must not keep those of other jobs from
/// being stored.
///
/// One batch at a time. Lives on the event loop.
class batch_append
{
public:
    using handler = std::function<void(batch_outcome const&)>;

    batch_append(boost::asio::io_context& loop,
                 base::clock const& clock,
                 keyed_log& log,
                 store_latency& latency,
                 append_limits limits);

    /// Starts a batch at an offset. Precondition: none is in progress, and the
    /// records of a job follow one another. `done` is called once, from within
    /// this call or later.
    void begin(std::uint64_t at,
               std::vector<scheduler::record> records,
               handler done);

    [[nodiscard]] bool busy() const noexcept
    {
        return m_busy;
    }

    /// The store has refused the current call more than once.
    [[nodiscard]] bool refused() const noexcept
    {
        return m_append.refused();
    }

    /// As `batch_outcome::confirmed_at`, for what is stored of the batch so
    /// far.
    [[nodiscard]] std::optional<base::instant> confirmed_at() const noexcept
    {
        return m_outcome.confirmed_at;
    }

    /// Takes back a batch of which certainly nothing is stored. `done` is then
    /// never called. Returns false and changes nothing otherwise.
    bool take_back();

private:
    /// The records of one job, or a part of them.
    struct job_records
    {
        workload::job_id job;
        std::vector<scheduler::record> records;
    };

    /// What one call appends.
    using call = std::vector<job_records>;

    [[nodiscard]] static std::vector<job_records>
    by_job(std::vector<scheduler::record> records);
    void add_calls(std::vector<job_records> const& all);
    void add_large(job_records const& it);
    void append_next();
    void ended(reliable_append_outcome it, std::size_t records);
    void stored(std::size_t records);
    void rejected();
    void finish(reliable_append_outcome it);

    append_limits m_limits;
    reliable_append m_append;
    std::deque<call> m_calls;
    batch_outcome m_outcome;
    /// Jobs of which some records are stored.
    std::set<workload::job_id> m_begun;
    std::set<workload::job_id> m_rejected;
    bool m_anything_stored{false};
    /// A rejected call may be carried out late: one of its attempts had no
    /// answer, and nothing has been stored at its offset since.
    bool m_in_doubt{false};
    bool m_busy{false};
    handler m_done;
};

} // namespace berylhill::cell
