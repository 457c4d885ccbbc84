#pragma once

#include <ownership/participant.hpp>

#include "state_digester.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace berylhill::ownership
{

/// Some processes, the log and what is under way between them, at one moment.
/// Every next step is a copy with one event more. Times are whole ticks of
/// one microsecond.
class system_state
{
public:
    enum class third_process_state : std::uint8_t
    {
        never,
        /// Starts at any moment of the run.
        starts,
        /// Has joined; "p" has published that it knows it, "e" has not read
        /// it.
        joined_unknown_to_owner,
    };

    struct bounds
    {
        std::int64_t lease_duration{2};
        std::int64_t horizon{6};
        /// Claims that take effect, in the whole run; more stay under way.
        int claims{2};
        /// Appends that the log refuses, in the whole run.
        int refusals{0};
        /// Whether process "p" may die and be dropped from the list.
        bool deaths{false};
        /// The process that may be told to stop; empty for none.
        std::string stops{};
        /// The first process never reads the log again.
        bool owner_cannot_read{false};
        third_process_state third_process{third_process_state::never};
        /// Whether all processes tick on their own; a read ticks too.
        bool all_tick{false};
        safety_rules rules;
    };

    /// "e" owns the unit; "p" has joined, and both know each other. "j" has
    /// not started.
    explicit system_state(bounds limits);

    using visitor = std::function<void(std::string, system_state const&)>;

    /// Calls `visit` with the label and the outcome of each possible step.
    void for_each_step(visitor const& visit) const;

    /// Processes that may act for the unit now.
    [[nodiscard]] std::vector<std::string> acting() const;
    [[nodiscard]] state_digester::digest digest() const;
    [[nodiscard]] std::int64_t now() const noexcept
    {
        return m_now;
    }

private:
    struct process
    {
        std::string name;
        participant it;
        std::int64_t next{0};
        bool dead{false};
        /// Kept, because most steps leave most processes as they are.
        mutable state_digester::digest digest{};
        mutable std::int64_t digested_at{-1};
    };
    struct pending_append
    {
        std::size_t process{0};
        append_record entry;
    };
    struct network_message
    {
        std::string to;
        /// The process whose round it belongs to.
        std::string asker;
        std::uint64_t round{0};
        std::variant<vouch_request, vouch_answer> message;
    };
    struct fetch
    {
        std::size_t process{0};
        std::int64_t as_of{0};
    };

    [[nodiscard]] static base::instant at(std::int64_t ticks)
    {
        return base::instant{base::duration{ticks}};
    }
    [[nodiscard]] state_digester::digest digest_of(process const& of) const;
    /// A copy of the process to change, before its state is digested again.
    [[nodiscard]] process& edit(std::size_t i);
    void start(std::string const& name);
    void read(std::size_t i);
    void tick(std::size_t i);
    void take_effect(std::size_t i);
    void settle(std::size_t first);
    void perform(std::size_t i, actions const& list);
    void deliver(std::size_t i);
    void answer_fetch(std::size_t i);
    /// Letters of a round that is over change nothing any more.
    void drop_stale_messages();
    void refuse(std::size_t i);
    void visit_process(std::size_t i, visitor const& visit) const;
    void visit_log(visitor const& visit) const;
    void visit_network(visitor const& visit) const;

    template <class Change>
    void visit_changed(std::string const& label,
                       visitor const& visit,
                       Change const& change) const;

    bounds m_bounds;
    std::int64_t m_now{1};
    /// Shared between worlds, and copied by who changes one.
    std::vector<std::shared_ptr<process const>> m_processes;
    std::shared_ptr<std::vector<record> const> m_log;
    state_digester::digest m_log_digest;
    std::vector<pending_append> m_appends;
    std::vector<network_message> m_messages;
    std::vector<fetch> m_fetches;
    std::set<std::string> m_list;
    int m_refusals{0};
    int m_claims{0};
};

} // namespace berylhill::ownership
