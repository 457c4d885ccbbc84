#pragma once

#include <ownership/participant.hpp>

#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace berylhill::ownership
{

/// A cell simulated in virtual time: entries that run the ownership protocol, a
/// log, an endpoint list that is updated with a delay, and a network. For tests
/// and benchmarks. Not thread-safe.
class simulated_cell
{
public:
    struct settings
    {
        std::size_t instances{9};
        std::size_t zones{3};
        std::size_t units{64};
        base::duration step{std::chrono::milliseconds{10}};
        base::duration append_duration{std::chrono::milliseconds{30}};
        base::duration read_interval{std::chrono::milliseconds{50}};
        base::duration tick_interval{std::chrono::milliseconds{100}};
        base::duration heartbeat_interval{std::chrono::milliseconds{300}};
        base::duration list_lag{std::chrono::seconds{15}};
    };

    explicit simulated_cell(settings options);

    void run(base::duration span);

    /// Ends the process; the endpoint list still has it for `list_lag`.
    void kill(std::size_t i);
    /// Starts a new process on the instance.
    void restart(std::size_t i);
    void pause(std::size_t i, bool paused);
    void stop(std::size_t i);
    void set_log_available(bool is_available);
    /// Partitions the instance from the others, but not from the log.
    void partition(std::size_t i, bool is_partitioned);

    [[nodiscard]] base::instant now() const noexcept
    {
        return m_now;
    }
    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_processes.size();
    }
    [[nodiscard]] participant const& at(std::size_t i) const
    {
        return *m_processes[i].protocol;
    }
    [[nodiscard]] participant& at(std::size_t i)
    {
        return *m_processes[i].protocol;
    }
    [[nodiscard]] std::set<std::string> const& units() const noexcept
    {
        return m_units;
    }
    /// Number of units for which a process may act now.
    [[nodiscard]] std::size_t active_units() const;
    /// The units for which this process may act now.
    [[nodiscard]] std::vector<std::string> active_units_of(std::size_t i) const;
    /// The longest time since `reset_gaps` for which no process could act for a
    /// unit.
    [[nodiscard]] base::duration longest_gap() const;
    [[nodiscard]] std::size_t units_with_gap(base::duration longer_than) const;
    void reset_gaps();
    /// Number of steps and units in which two processes could act for one unit.
    [[nodiscard]] std::size_t conflicts() const noexcept
    {
        return m_conflicts;
    }
    [[nodiscard]] std::size_t vouch_messages() const noexcept
    {
        return m_vouch_messages;
    }
    [[nodiscard]] std::size_t heartbeats() const noexcept
    {
        return m_heartbeats;
    }
    [[nodiscard]] record const& log_record(std::size_t i) const
    {
        return m_log[i];
    }
    [[nodiscard]] std::size_t log_size() const noexcept
    {
        return m_log.size();
    }

private:
    struct simulated_process
    {
        std::unique_ptr<participant> protocol;
        std::string instance;
        bool alive{true};
        bool paused{false};
        bool partitioned{false};
        int starts{1};
        std::int64_t next{0};
        /// Until when the endpoint list has the process after its end.
        base::instant listed_until{};
    };
    struct pending_append
    {
        base::instant due;
        std::size_t process{0};
        append_record append;
        int start{0};
    };
    struct network_message
    {
        std::size_t from{0};
        std::string to;
        action message;
    };

    void create(std::size_t i);
    void perform(std::size_t i, actions const& list);
    void complete_appends();
    void deliver();
    void run_process(std::size_t i);
    void record_gaps();
    [[nodiscard]] bool is_due(base::duration period, std::size_t i) const;
    [[nodiscard]] std::set<std::string> endpoint_list() const;

    settings m_settings;
    base::instant m_now{std::chrono::seconds{1}};
    std::vector<simulated_process> m_processes;
    std::set<std::string> m_units;
    std::vector<record> m_log;
    std::deque<pending_append> m_appends;
    std::vector<network_message> m_messages;
    bool m_log_is_available{true};
    std::map<std::string, base::instant> m_last_active;
    std::map<std::string, base::duration> m_gaps;
    std::size_t m_conflicts{0};
    std::size_t m_vouch_messages{0};
    std::size_t m_heartbeats{0};
};

} // namespace berylhill::ownership
