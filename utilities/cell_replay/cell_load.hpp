#pragma once

#include <base/time.hpp>
#include <workload/cell_configuration.hpp>
#include <workload/job_spec.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace berylhill::cell_replay
{

/// More of one kind of job for some seconds. A value.
struct load_burst
{
    double at_s{0};
    double for_s{0};
    /// The rate is this many times the usual one.
    double factor{1};
    /// All jobs beyond the usual rate are the first client account's.
    bool one_account{false};

    friend bool operator==(load_burst const&, load_burst const&) = default;
};

/// A lognormal size: its mean, its spread (standard deviation over mean) and
/// the largest that is drawn. A value.
struct drawn_size
{
    double mean{1};
    double spread{0};
    double most{1};

    friend bool operator==(drawn_size const&, drawn_size const&) = default;
};

/// One kind of job. A value.
struct load_kind
{
    workload::queue_spec queue;
    double per_second{0};
    /// Of a job of mean work that is in time, and that is late.
    double worth{1};
    double late_worth{0};
    drawn_size steps;
    drawn_size tasks;
    drawn_size cpu_millis;
    drawn_size memory_mb;
    drawn_size work_ms;
    /// How far a client's estimate is off: the deviation of its logarithm.
    double estimate_off{0};
    double gang_share{0};
    double checkpoint_share{0};
    double fail_share{0};
    /// The share of the instances that the queue's policy allows to a step.
    double allowed_share{1};
    std::vector<load_burst> bursts;

    friend bool operator==(load_kind const&, load_kind const&) = default;
};

/// A time of trouble. A value.
struct load_trouble
{
    double at_s{0};
    double for_s{0};

    friend bool operator==(load_trouble const&, load_trouble const&) = default;
};

/// A load pattern of one cell. A value; read from a file of
/// `utilities/cell_replay/loads`.
struct cell_load
{
    std::string name;
    double seconds{0};
    std::uint32_t instances{0};
    std::uint32_t rack{1};
    workload::resources capacity;
    std::vector<double> speeds;
    /// Machines that can ask for advice, each one question at a time.
    std::uint32_t machines{1};
    base::duration append{0};
    /// An append takes `slow_append` while the store is slow.
    base::duration slow_append{0};
    load_trouble slow_store;
    /// This share of the instances leaves, one after the other, and another
    /// life answers at once.
    double leaving_share{0};
    load_trouble leaving;
    /// Client accounts; the jobs of the n-th are 1/n of the first one's. With
    /// none, jobs have no account.
    std::uint32_t accounts{0};
    std::vector<load_kind> kinds;

    friend bool operator==(cell_load const&, cell_load const&) = default;
};

/// A job of a load, with what only the instances know. A value.
struct drawn_job
{
    workload::job_spec spec;
    std::size_t kind{0};
    base::duration arrives{0};
    /// Of each step: how long a task takes on an instance of speed 1.
    std::vector<double> work_s;
    /// Core-seconds in all.
    double work{0};
    /// In time until so long after it was sent.
    base::duration objective{0};

    friend bool operator==(drawn_job const&, drawn_job const&) = default;
};

/// Reads a load pattern. Throws `boost::system::system_error` or
/// `std::out_of_range` where the file is not one: a mistake of its writer.
[[nodiscard]] cell_load read_cell_load(std::string const& path);

/// The accounts of the load, each with its usual rate as its weight.
[[nodiscard]] std::vector<workload::account_spec>
accounts_of(cell_load const& it);

/// The jobs of one run, by the time of their arrival; the same for a seed
/// whatever is decided about them.
[[nodiscard]] std::vector<drawn_job> draw_jobs(cell_load const& of,
                                               std::uint64_t seed);

} // namespace berylhill::cell_replay
