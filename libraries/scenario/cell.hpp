#pragma once

#include <base/result.hpp>
#include <base/time.hpp>
#include <platform/http_pool.hpp>
#include <scenario/balancer.hpp>
#include <scenario/child_process.hpp>
#include <scenario/journal.hpp>

#include <json/value.h>

#include <memory>
#include <string>
#include <vector>

namespace berylhill::scenario
{

struct cell_options
{
    std::string binary;
    std::string stand_ins;
    /// For settings, outputs and histories; made anew.
    std::string directory;
    int entries{3};
    /// Entries stand in these zones in turn.
    std::vector<std::string> zones{"sapporo-a", "sapporo-b", "ishikari"};
    std::string side{"sapporo"};
    /// `workers` and `minions`, as `stand_ins --fleet` takes them.
    Json::Value fleet;
    double time_scale{1};
    std::uint64_t seed{1};
};

/// The stand-ins and the entries of one cell, as processes on loopback. To be
/// used by the main thread.
class cell
{
public:
    cell(cell_options options, std::shared_ptr<platform::http_pool> pool);
    ~cell();
    cell(cell const&) = delete;
    cell& operator=(cell const&) = delete;

    /// Starts the stand-ins and all entries. Fails with `unavailable` and says
    /// what did not start.
    [[nodiscard]] base::result<base::done> start();

    /// Preconditions of the following: `entry` is from 1 to the options' count.
    [[nodiscard]] base::result<base::done> start_entry(int entry);
    void kill_entry(int entry);
    void freeze_entry(int entry);
    void thaw_entry(int entry);

    /// Announces the stop, takes the entry from the balancer and ends it with
    /// SIGTERM; waits for its end.
    [[nodiscard]] base::result<base::done> stop_entry(int entry);

    /// Whether the entry answers that it is ready for work.
    [[nodiscard]] bool ready(int entry) const;

    /// Fails with `invalid` for a subject or fault that no stand-in knows.
    [[nodiscard]] base::result<base::done>
    fault(std::string const& subject, std::string const& name, double value);

    /// Ends everything. Entries get the time for a graceful stop.
    void stop();

    /// What the stand-ins have written down. Fails with `invalid`.
    [[nodiscard]] base::result<timeline> history() const;

    /// Of the entries that live, in their order.
    [[nodiscard]] std::vector<int> process_ids() const;

    [[nodiscard]] int entry_count() const noexcept
    {
        return m_options.entries;
    }
    [[nodiscard]] balancer& entries() noexcept
    {
        return m_balancer;
    }
    [[nodiscard]] journal& seen() noexcept
    {
        return m_journal;
    }

private:
    struct entry_process
    {
        entry_address address;
        std::string peer;
        child_process process;
    };

    [[nodiscard]] base::result<base::done> start_stand_ins();
    [[nodiscard]] Json::Value settings_of(int entry) const;
    [[nodiscard]] base::result<base::done>
    announce_stop(entry_address const& it);
    entry_process& process_of(int entry);
    void note_end(entry_process& it, base::duration most);
    void note_fault(std::string const& entry, char const* name);

    cell_options m_options;
    std::shared_ptr<platform::http_pool> m_pool;
    balancer m_balancer;
    journal m_journal;
    child_process m_stand_ins;
    std::vector<int> m_ports;
    std::vector<entry_process> m_entries;
};

/// Ports of the loopback address that are free now.
[[nodiscard]] std::vector<int> free_ports(int count);

} // namespace berylhill::scenario
