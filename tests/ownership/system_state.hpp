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

/// One state of a small cell in the exhaustive test: the processes, the log,
/// and the messages and appends in flight. Each possible step yields a modified
/// copy. Times are in ticks of one microsecond.
class system_state
{
public:
    enum class third_process_state : std::uint8_t
    {
        never,
        /// May start at any step of the run.
        starts,
        /// Has joined; "p" has published that it knows the process, "e" has not
        /// read the `join` record.
        joined_unknown_to_owner,
    };

    struct bounds
    {
        std::int64_t lease_duration{2};
        std::int64_t horizon{6};
        /// Maximum number of claims that take effect in a run; others stay
        /// pending.
        int claims{2};
        /// Maximum number of appends that the log rejects in a run.
        int rejections{0};
        /// Whether process "p" may crash and be removed from the endpoint list.
        bool crashes{false};
        /// The process that may be asked to stop; empty for none.
        std::string stops{};
        /// Process "e" can no longer read the log.
        bool owner_cannot_read{false};
        third_process_state third_process{third_process_state::never};
        /// Whether processes other than "e" tick independently of log reads.
        bool all_tick{false};
        safety_rules rules;
    };

    /// "e" owns the unit and "p" has joined; both know each other. "j" has not
    /// started, unless the bounds say otherwise.
    explicit system_state(bounds limits);

    using visitor = std::function<void(std::string, system_state const&)>;

    /// Calls `visit` with the label and the resulting state of each possible
    /// step.
    void for_each_step(visitor const& visit) const;

    /// The processes that may act for the unit now.
    [[nodiscard]] std::vector<std::string> active_processes() const;
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
        bool crashed{false};
        /// Cached, because most steps change only one process.
        mutable state_digester::digest digest{};
        mutable std::int64_t digested_at{-1};
    };
    struct pending_append
    {
        std::size_t process{0};
        append_record append;
    };
    struct network_message
    {
        std::string to;
        /// The process whose vouch round the message belongs to.
        std::string requester;
        std::uint64_t round{0};
        std::variant<vouch_request, vouch_answer> message;
    };
    struct list_fetch
    {
        std::size_t process{0};
        std::int64_t as_of{0};
    };

    [[nodiscard]] static base::instant at(std::int64_t ticks)
    {
        return base::instant{base::duration{ticks}};
    }
    [[nodiscard]] state_digester::digest digest_of(process const& of) const;
    /// Replaces the process by a copy that may be changed; drops its cached
    /// digest.
    [[nodiscard]] process& edit(std::size_t i);
    void start(std::string const& name);
    void read(std::size_t i);
    void tick(std::size_t i);
    void append_to_log(std::size_t i);
    void settle(std::size_t first);
    void perform(std::size_t i, actions const& list);
    void deliver(std::size_t i);
    void answer_fetch(std::size_t i);
    /// Removes messages of finished rounds, which no longer have an effect.
    void drop_stale_messages();
    void reject(std::size_t i);
    void visit_process(std::size_t i, visitor const& visit) const;
    void visit_log(visitor const& visit) const;
    void visit_network(visitor const& visit) const;

    template <class Change>
    void visit_changed(std::string const& label,
                       visitor const& visit,
                       Change const& change) const;

    bounds m_bounds;
    std::int64_t m_now{1};
    /// Shared between states; copied on write.
    std::vector<std::shared_ptr<process const>> m_processes;
    std::shared_ptr<std::vector<record> const> m_log;
    state_digester::digest m_log_digest;
    std::vector<pending_append> m_appends;
    std::vector<network_message> m_messages;
    std::vector<list_fetch> m_list_fetches;
    std::set<std::string> m_list;
    int m_rejections{0};
    int m_claims{0};
};

} // namespace berylhill::ownership
