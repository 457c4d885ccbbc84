#pragma once

#include <cell_replay/cell_load.hpp>
#include <cell_replay/replayed_instance.hpp>

#include <bench/quantiles.hpp>
#include <bench/virtual_time.hpp>
#include <cell/advice_queue.hpp>
#include <scheduler/scheduler.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace berylhill::cell_replay
{

/// What one kind of job earned. A value.
struct kind_result
{
    double owed{0};
    double earned{0};
    /// Of the largest tenth of the kind's jobs.
    double largest_owed{0};
    double largest_earned{0};
    /// Jobs that have waited for their first start for over 20 s when the last
    /// arrival comes.
    std::uint64_t waiting_long{0};
    /// Accepted jobs of which nothing has started, and those that have not
    /// ended, some seconds after the last arrival.
    std::uint64_t never_started{0};
    std::uint64_t not_ended{0};

    friend bool operator==(kind_result const&, kind_result const&) = default;
};

/// What a replay measured.
struct replay_figures
{
    std::map<std::string, kind_result> kinds;
    double cores_used{0};
    std::uint64_t starts{0};
    std::uint64_t stops{0};
    std::uint64_t questions{0};
    double advice_s{0};
    /// Of a round of decisions, microseconds of this machine.
    bench::quantiles rounds;
    /// The rounds' time altogether, seconds of this machine.
    double rounds_s{0};
};

/// Drives `scheduler::scheduler` on virtual time with a load: instances that
/// run what they are told, a store that takes a batch at a time, a service of
/// advice that answers each machine one question at a time. What is replayed
/// is how well the decisions use what they are given, so nothing is lost on
/// the way, and no owner changes. Not thread-safe.
class replay
{
public:
    /// Load and jobs outlive it.
    replay(cell_load const& load,
           std::vector<drawn_job> const& jobs,
           scheduler::policy rules = {});

    [[nodiscard]] replay_figures run();

private:
    struct quiet_log final : scheduler::decision_log
    {
        void write(base::log_level,
                   std::string_view,
                   std::initializer_list<base::log_field>) override
        {
        }
    };

    void list_instance(std::uint32_t number, std::uint32_t life);
    void leave(std::uint32_t number);
    void submit_all();
    void tick();
    void soon();
    void round();
    void store();
    [[nodiscard]] base::duration append_time() const;
    void carry_out(std::vector<scheduler::order> const& orders);
    void send(scheduler::start_order const& it);
    void send(scheduler::stop_order const& it);
    void send(scheduler::advice_order const& it);
    void serve_advice();
    void answer_advice(std::uint64_t question);
    void hold(std::string const& id);
    void report(std::string const& id, std::uint64_t turn);
    void begin(scheduler::attempt_name const& it, replayed_instance& at);
    void work(scheduler::attempt_name const& it, replayed_instance& at);
    void ended(scheduler::attempt_name const& it,
               std::string const& id,
               scheduler::end_reason reason);
    [[nodiscard]] drawn_job const&
    job_of(scheduler::attempt_name const& it) const;
    [[nodiscard]] double core_seconds(replayed_instance::run const& it) const;
    void look_for_ends();
    void count_waiting();
    void add_credits();
    void add_credit(drawn_job const& job, double mean_work, bool largest);

    struct waiting_hold
    {
        std::uint64_t turn{0};
        bool waiting{false};
    };

    cell_load const& m_load;
    std::vector<drawn_job> const& m_jobs;
    bench::virtual_time m_time;
    base::instant m_start;
    quiet_log m_log;
    scheduler::scheduler m_decisions;
    cell::advice_queue m_queue;
    std::vector<cell::peer> m_peers;
    std::uint64_t m_last_question{0};
    std::map<std::uint64_t, scheduler::advice_order> m_questions;
    std::map<std::uint64_t, network::socket_address> m_asked_by;
    std::map<std::string, std::unique_ptr<replayed_instance>> m_instances;
    std::vector<std::string> m_lives;
    std::map<std::string, waiting_hold> m_holds;
    std::map<workload::step_name, std::map<std::uint32_t, std::uint32_t>>
        m_present;
    std::set<std::uint64_t> m_started;
    std::map<std::uint64_t, base::instant> m_completed;
    std::vector<std::uint64_t> m_unfinished;
    bool m_round_due{false};
    bool m_appending{false};
    replay_figures m_figures;
};

} // namespace berylhill::cell_replay
