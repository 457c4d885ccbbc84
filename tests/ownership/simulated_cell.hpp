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
/// log, an endpoint list that lags, and a network. For tests and benchmarks.
/// Not thread-safe.
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

    explicit simulated_cell(settings given);

    void run(base::duration span);

    /// Ends the process; the list shows it until its lag is over.
    void kill(std::size_t i);
    /// Starts a new process on the instance.
    void restart(std::size_t i);
    void pause(std::size_t i, bool paused);
    void stop(std::size_t i);
    void set_log(bool is_up);
    /// Cuts the instance off from the others, not from the log.
    void cut(std::size_t i, bool is_cut);

    [[nodiscard]] base::instant now() const noexcept
    {
        return m_now;
    }
    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_nodes.size();
    }
    [[nodiscard]] participant const& at(std::size_t i) const
    {
        return *m_nodes[i].it;
    }
    [[nodiscard]] participant& at(std::size_t i)
    {
        return *m_nodes[i].it;
    }
    [[nodiscard]] std::set<std::string> const& units() const noexcept
    {
        return m_units;
    }
    /// Number of units for which a process may act now.
    [[nodiscard]] std::size_t acted_on() const;
    /// The units for which this process may act now.
    [[nodiscard]] std::vector<std::string> acted_on_by(std::size_t i) const;
    /// The longest time since `reset_gaps` in which no process could act for a
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
    [[nodiscard]] record const& entry(std::size_t i) const
    {
        return m_log[i];
    }
    [[nodiscard]] std::size_t log_entries() const noexcept
    {
        return m_log.size();
    }

private:
    struct simulated_process
    {
        std::unique_ptr<participant> it;
        std::string instance;
        bool alive{true};
        bool paused{false};
        bool cut{false};
        int starts{1};
        std::int64_t next{0};
        /// Until when the list still shows the process after its end.
        base::instant listed_until{};
    };
    struct pending_append
    {
        base::instant due;
        std::size_t node{0};
        append_record entry;
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
    [[nodiscard]] std::set<std::string> list() const;

    settings m_settings;
    base::instant m_now{std::chrono::seconds{1}};
    std::vector<simulated_process> m_nodes;
    std::set<std::string> m_units;
    std::vector<record> m_log;
    std::deque<pending_append> m_appends;
    std::vector<network_message> m_messages;
    bool m_log_up{true};
    std::map<std::string, base::instant> m_last_acted;
    std::map<std::string, base::duration> m_gaps;
    std::size_t m_conflicts{0};
    std::size_t m_vouch_messages{0};
    std::size_t m_heartbeats{0};
};

} // namespace berylhill::ownership
