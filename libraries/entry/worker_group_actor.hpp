#pragma once

#include <entry/messages.hpp>
#include <entry/order_gate.hpp>
#include <entry/worker_outbox.hpp>
#include <lease/inventory_barrier.hpp>
#include <lease/worker_lease.hpp>
#include <placement/group_ledger.hpp>

#include <caf/event_based_actor.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace berylhill::entry
{

struct entry_node;

/// Owns one rack of workers under one epoch: counts what each holds, starts
/// and stops tasks, renews their leases, and reports ends to the shards.
class worker_group_actor : public caf::event_based_actor
{
public:
    worker_group_actor(caf::actor_config& config,
                       entry_node& self,
                       std::string unit,
                       std::int64_t epoch);

    caf::behavior make_behavior() override;

private:
    enum class phase : std::uint8_t
    {
        held,
        started,
    };

    /// An attempt that the ledger counts.
    struct account
    {
        std::string worker;
        model::resources planned;
        phase at{phase::held};
    };

    /// An end that its shard has not written to the log yet.
    struct unreported
    {
        placement::attempt_end end;
        /// The worker keeps the result until it is acknowledged.
        bool kept_by_worker{false};
    };

    struct worker_state
    {
        model::endpoint listed;
        lease::worker_lease lease;
        worker_outbox outbox;
        bool exchanging{false};
        bool lapse_seen{false};
        base::instant due{};
        /// Since when the worker is leaving.
        std::optional<base::instant> leaving_since;
    };

    // The list and the clock (worker_group_actor.cpp).
    void tick();
    void take_list(base::instant now);
    void add_worker(model::endpoint const& it, base::instant now);
    void drop_worker(std::string const& worker);
    void expire_holds(base::instant now);
    void look_for_lapses(base::instant now);
    void empty_leaving(base::instant now);
    void give_work_left(work_left_asked const& it);
    void publish();

    // Exchanges with workers (worker_group_exchange.cpp).
    void exchange_due(base::instant now);
    [[nodiscard]] bool runs_anything(std::string const& worker) const;
    void exchange(std::string const& worker, worker_state& it);
    void take_answer(exchange_ended const& it);
    void take_finished(std::string const& worker,
                       platform::worker_answer const& answer,
                       base::instant now);
    void settle_request(std::string const& worker,
                        platform::worker_request const& request,
                        platform::worker_answer const& answer,
                        base::instant now);
    void perform(std::vector<placement::ledger_action> const& todo,
                 base::instant now);
    void ended(placement::attempt_end const& end, bool kept_by_worker);
    void report_ends();
    void take_ends(ends_taken const& it);

    // Orders of shards (worker_group_orders.cpp).
    void take_orders(group_orders_asked const& it);
    [[nodiscard]] std::optional<base::failure>
    refusal_of(std::string const& shard, std::int64_t epoch);
    [[nodiscard]] bool is_over(model::attempt_id const& it) const;
    [[nodiscard]] order_answer take_hold(placement::hold_order const& it,
                                         base::instant now);
    [[nodiscard]] order_answer take_commit(model::attempt_id const& it,
                                           base::instant now);
    void take_release(model::attempt_id const& it, base::instant now);
    void give_inventory(inventory_asked const& it);
    void release_holds_of(std::string const& shard, base::instant now);

    [[nodiscard]] bool acting() const;

    entry_node& m_node;
    std::string m_unit;
    std::int64_t m_epoch;
    base::instant m_begun;
    placement::group_ledger m_ledger;
    std::map<std::string, worker_state> m_workers;
    std::optional<lease::inventory_barrier> m_barrier;
    std::map<std::string, std::int64_t> m_shard_epochs;
    order_gate m_gate;
    std::map<model::attempt_id, account> m_attempts;
    std::map<model::attempt_id, unreported> m_ends;
    /// Shards that a report is under way to, and when the next may go.
    std::map<std::string, base::instant> m_report_after;
};

} // namespace berylhill::entry
