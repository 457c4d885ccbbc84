#pragma once

#include <soak/ledger.hpp>
#include <soak/plan.hpp>
#include <stand_ins/cell_process.hpp>
#include <stand_ins/documents.hpp>
#include <stand_ins/fault_link.hpp>
#include <stand_ins/heartbeats.hpp>
#include <stand_ins/instance_stand_in.hpp>
#include <stand_ins/store_gate.hpp>
#include <stand_ins/store_stand_in.hpp>

#include <boost/asio/io_context.hpp>

#include <array>
#include <filesystem>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace berylhill::soak
{

/// What instances do of themselves.
enum class instance_kind : std::uint8_t
{
    steady,
    /// One job in 16 has a task that crashes what starts it, and instances
    /// shrink and grow.
    unsteady,
};

/// What operators write.
enum class configuration_kind : std::uint8_t
{
    small,
    /// As large as the store takes and larger, over links that carry little.
    large,
};

/// What becomes of the orders to instances.
enum class order_kind : std::uint8_t
{
    prompt,
    /// Instances reject part of their requests for some time, and orders get
    /// no answer and are carried out seconds later. Tasks take longer, so that
    /// two runs of one are seen beside each other.
    late,
};

/// Who may call.
enum class caller_kind : std::uint8_t
{
    anybody,
    /// Client accounts with a key each; not with large configurations. Tasks
    /// are short, so that many jobs are handed in.
    accounts,
};

/// What callers hand in.
enum class job_kind : std::uint8_t
{
    small,
    /// Jobs with a partitioned state, each batch of which takes several
    /// appends: the store takes little in one. Tasks are short.
    wide,
};

/// The size of a run, and what its instances are like. A value.
struct cell_size
{
    std::size_t processes{5};
    std::size_t instances{6};
    instance_kind kind{instance_kind::steady};
    configuration_kind configuration{configuration_kind::small};
    order_kind orders{order_kind::prompt};
    caller_kind callers{caller_kind::anybody};
    /// Instances tell their birth and start again under the id that they had.
    bool keeps_ids{false};
    /// The store turns processes away, in place of most other faults.
    bool store_turns_away{false};
    job_kind jobs{job_kind::small};
    /// Owners are cut off together with instances. Tasks outlast the leases,
    /// and some of them the wait of the next owner.
    bool islands{false};
    /// Each second instance belongs to another service; queues move, and links
    /// to instances are silent for longer than a lease. Tasks outlast leases.
    bool moves_queues{false};
    /// The store takes longer for an answer than instances for a task, and
    /// these crash just after they have reported an end, while it is being
    /// stored.
    bool slow_store{false};

    friend bool operator==(cell_size const&, cell_size const&) = default;
};

/// Real processes of a cell with stand-ins around them and links between, all
/// on loopback. Ends only what it started. Lives on the event loop.
class cell
{
public:
    /// Tasks of `task_cpu` that an instance holds.
    static constexpr std::int64_t task_cpu = 3'000;
    static constexpr std::chrono::milliseconds task_time{250};
    static constexpr std::chrono::milliseconds short_task_time{60};
    static constexpr std::chrono::milliseconds slow_answer{300};
    static constexpr std::chrono::milliseconds long_task_time{1'000};
    static constexpr std::chrono::milliseconds island_task_time{4'000};
    static constexpr std::chrono::milliseconds longest_task_time{9'000};
    static constexpr std::size_t room = static_cast<std::size_t>(
        platform_test::instance_stand_in::cpu_millis / task_cpu);

    /// Tasks of the first step of a job.
    static constexpr std::size_t small_step = 2;
    static constexpr std::size_t wide_step = 70;

    /// What the store takes from jobs that are wide.
    static constexpr ::berylhill::cell::append_limits small_limits{4'096,
                                                                   4'096};

    /// Client accounts, where there are any.
    static constexpr std::size_t accounts = 4;

    /// Same seed, same draws of what becomes of a request.
    cell(boost::asio::io_context& loop,
         std::string binary,
         std::filesystem::path folder,
         cell_size size,
         std::uint64_t seed,
         ledger& seen);
    cell(cell const&) = delete;
    cell& operator=(cell const&) = delete;
    ~cell();

    void begin(fault const& it);
    void end(fault const& it);

    /// Starts processes again that were ended, and looks for those that ended
    /// by themselves.
    void look_after_processes();

    /// What instances do of themselves, when its time has come.
    void look_after_instances();

    /// The store answers so much later.
    void set_store_delay(std::chrono::milliseconds it);

    /// Ends all faults.
    void heal();

    /// Where callers reach a process: its link.
    [[nodiscard]] network::socket_address callers_of(std::size_t process) const;

    /// The fields of a request of a client account.
    [[nodiscard]] std::vector<network::http_field>
    fields_of(std::size_t account) const;

    /// Whether a job that is handed in there has to be accepted: the store has
    /// turned other processes away for so long that one which it serves owns
    /// the work. Not judged where processes are killed beside that.
    [[nodiscard]] bool must_accept(std::size_t process) const;

    [[nodiscard]] std::size_t first_step() const noexcept
    {
        return m_jobs == job_kind::wide ? wide_step : small_step;
    }

    [[nodiscard]] std::size_t processes() const noexcept
    {
        return m_processes.size();
    }

    /// The prefix of the queue that the newest configuration added, and of
    /// one that it took out; empty before the first change.
    [[nodiscard]] std::string added_queue() const;
    [[nodiscard]] std::string removed_queue() const;

private:
    struct member
    {
        platform_test::cell_process how;
        std::unique_ptr<platform_test::process> process;
        std::unique_ptr<platform_test::fault_link> to_store;
        std::unique_ptr<platform_test::fault_link> from_callers;
        /// Only where owners are cut off.
        std::unique_ptr<platform_test::fault_link> from_peers;
        network::socket_address callers;
        /// Ended by us, or asked to end.
        bool stopping{false};
        bool must_exit_well{false};
        bool held{false};
        ledger::instant asked_at;
    };

    struct worker
    {
        std::unique_ptr<platform_test::instance_stand_in> instance;
        std::unique_ptr<platform_test::fault_link> link;
        network::socket_address reached_at;
        /// When it crashes by what it has started.
        std::optional<ledger::instant> crashes_at;
        /// When it shrinks or grows next, and since when it is small.
        ledger::instant resizes_at;
        std::optional<ledger::instant> small_since;
        bool small_counts{false};
    };

    void stop(member& it, int signal, bool must_exit_well);
    void crash(worker& it);
    void started(worker& it, std::string const& task);
    void ended(worker& it, std::string const& task, std::string const& how);
    void resize(worker& it, ledger::instant now);
    void announce(worker& it);
    [[nodiscard]] std::vector<std::pair<std::string, std::string>>
    entries() const;
    void make_orders_late(double share);
    void configure();
    void move_queues();
    void write_configuration();
    [[nodiscard]] std::vector<platform_test::account_keys> keys() const;
    void kill(member& it);
    [[nodiscard]] std::vector<member>::iterator owner();
    void kill_owner();
    void turn_away(std::size_t target);
    void turn_away_none();
    void cut_off_owner(std::size_t target);
    void cut_off_none();

    boost::asio::io_context& m_loop;
    ledger& m_seen;
    instance_kind m_kind;
    configuration_kind m_configuration;
    caller_kind m_callers;
    job_kind m_jobs;
    bool m_keeps_ids;
    bool m_slow_store;
    std::size_t m_ends{0};
    /// How many faults keep the account's key revoked.
    std::array<int, accounts> m_revoked{};
    std::unique_ptr<platform_test::store_stand_in> m_store;
    network::socket_address m_store_address;
    /// Stands for the store towards processes that it refuses.
    std::unique_ptr<platform_test::store_gate> m_refusing;
    network::socket_address m_refusing_address;
    std::vector<member> m_processes;
    std::set<std::size_t> m_turned_away;
    ledger::instant m_turned_away_since;
    /// The owner that is cut off together with instances.
    std::optional<std::size_t> m_cut_off;
    std::vector<worker> m_workers;
    std::unique_ptr<platform_test::heartbeats> m_heartbeats;
    int m_version{0};
    /// How often a queue was added.
    int m_queue_changes{0};
    /// The service of all queues.
    std::string m_service{"svc"};
    int m_crashes{0};
    bool m_healed{false};
    /// The owner is killed when the store has lost more answers than these.
    std::optional<std::size_t> m_owner_dies_after;
};

} // namespace berylhill::soak
