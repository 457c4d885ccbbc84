#include <soak/cell.hpp>

#include <cell/owner_lookup.hpp>
#include <stand_ins/ports.hpp>

#include <boost/json.hpp>

#include <algorithm>
#include <csignal>
#include <utility>

namespace berylhill::soak
{

namespace
{

using platform_test::fault_link;
using platform_test::link_state;
using platform_test::local;

/// The grace time of the settings and a little for a busy machine.
constexpr std::chrono::seconds longest_stop{6};

/// Of instances that are not steady: between two that shrink first, from a
/// change of room to the next, and how long what an instance had still counts.
constexpr std::chrono::milliseconds resize_step{600};
constexpr std::chrono::milliseconds resize_pause{6'500};
constexpr std::chrono::milliseconds shrunk_slack{4'500};

/// How many tasks a small instance holds.
constexpr std::size_t small_room = 1;

/// The first task of a job whose id ends so, and how long after its start its
/// instance crashes.
constexpr std::string_view crashing_task_suffix = "0.0.0.0";
constexpr std::chrono::milliseconds crash_pause{5};

/// The share of requests that an instance rejects, and of orders that are late,
/// while this fault lasts.
constexpr double rejected_share = 0.5;
constexpr double late_share = 0.7;

/// The share of appends without an answer while the store loses them.
constexpr double lost_share = 0.4;

/// From when the store turns the owner away until another process accepts.
constexpr std::chrono::milliseconds longest_handover{2'000};

/// Bytes a second over a link to the store where configurations are large.
constexpr std::size_t narrow_link = 250'000;

/// Bytes that configurations have at least, in turn; the first is the largest
/// record that the store takes.
constexpr std::array<std::size_t, 4> large_sizes{262'144, 0, 380'000, 60'000};

/// The prefix of the queue that a version adds.
std::string queue_of(int version)
{
    constexpr char first_letter = 'a';
    constexpr int letters = 26;
    return {'/', 'x', static_cast<char>(first_letter + version % letters), '/'};
}

std::string key_of(std::size_t account)
{
    return "key-" + std::to_string(account);
}

/// The service that queues move to and from.
constexpr char const* other_service = "other";

/// The longest lease of instances where owners or instances are cut off.
constexpr std::int64_t short_lease_ms = 3'500;

std::chrono::milliseconds time_of_tasks(cell_size const& it,
                                        std::size_t instance)
{
    if (it.islands)
    {
        // Of two neighbours, one lies on an island.
        return instance / 2 % 2 == 0 ? cell::longest_task_time
                                     : cell::island_task_time;
    }
    if (it.moves_queues)
    {
        return cell::island_task_time;
    }
    if (it.orders == order_kind::late)
    {
        return cell::long_task_time;
    }
    auto const is_short = it.callers == caller_kind::accounts ||
                          it.jobs == job_kind::wide || it.slow_store;
    return is_short ? cell::short_task_time : cell::task_time;
}

} // namespace

cell::cell(boost::asio::io_context& loop,
           std::string binary,
           std::filesystem::path folder,
           cell_size size,
           std::uint64_t seed,
           ledger& seen)
    : m_loop{loop}
    , m_seen{seen}
    , m_kind{size.kind}
    , m_configuration{size.configuration}
    , m_callers{size.callers}
    , m_jobs{size.jobs}
    , m_keeps_ids{size.keeps_ids}
    , m_slow_store{size.slow_store}
{
    using platform_test::ports_per_process;
    std::size_t const links = size.islands ? 3 : 2;
    auto const wanted =
        size.processes * (ports_per_process + links) + size.instances * 2 + 2;
    std::size_t port = platform_test::free_ports(
        platform_test::port_range::soak, static_cast<std::uint16_t>(wanted));
    m_store_address = local(port++);
    m_store =
        std::make_unique<platform_test::store_stand_in>(loop, m_store_address);
    if (m_jobs == job_kind::wide)
    {
        m_store->set_limits(small_limits);
    }
    m_refusing_address = local(port++);
    m_refusing = std::make_unique<platform_test::store_gate>(
        loop, m_refusing_address, m_store_address);
    m_refusing->set_turning_away(true);
    configure();
    for (std::size_t n = 0; n < size.instances; ++n)
    {
        auto const id = "i-" + std::to_string(n);
        auto const at = local(port++);
        worker made;
        made.reached_at = local(port++);
        made.link = std::make_unique<fault_link>(loop, made.reached_at, at);
        m_workers.push_back(std::move(made));
        auto& it = m_workers.back();
        it.instance = std::make_unique<platform_test::instance_stand_in>(
            loop, at, id, time_of_tasks(size, n),
            [this, n](std::string const& task)
            { started(m_workers[n], task); });
        it.resizes_at =
            std::chrono::steady_clock::now() + resize_step * (n + 1);
        it.instance->on_end(
            [this, n](std::string const& task, std::string const& how)
            { ended(m_workers[n], task, how); });
        it.instance->on_acknowledged([this](std::string const& task)
                                     { m_seen.end_acknowledged(task); });
        it.instance->faults() =
            platform_test::request_faults{seed * size.instances + n};
        if (m_keeps_ids)
        {
            it.instance->tell_birth();
        }
        if (size.moves_queues && n % 2 == 1)
        {
            it.instance->set_service(other_service);
        }
        announce(it);
    }
    m_heartbeats = std::make_unique<platform_test::heartbeats>(
        loop, *m_store, [this] { return entries(); });
    for (std::size_t n = 0; n < size.processes; ++n)
    {
        member it;
        auto const store_link = local(port++);
        it.callers = local(port++);
        it.how = {binary, folder, "cell-" + std::to_string(n), port,
                  store_link.port};
        if (m_jobs == job_kind::wide)
        {
            it.how.store_limits = small_limits;
        }
        it.to_store =
            std::make_unique<fault_link>(loop, store_link, m_store_address);
        if (m_configuration == configuration_kind::large)
        {
            it.to_store->set_rate(narrow_link);
        }
        it.from_callers =
            std::make_unique<fault_link>(loop, it.callers, local(port));
        if (size.islands || size.moves_queues)
        {
            it.how.longest_lease_ms = short_lease_ms;
        }
        if (size.islands)
        {
            it.how.peers_reach_it_at = port + ports_per_process;
            it.from_peers = std::make_unique<fault_link>(
                loop, local(it.how.peers_reach_it_at),
                local(own_peer_port(it.how)));
            ++port;
        }
        port += ports_per_process;
        it.process = platform_test::start(it.how);
        m_processes.push_back(std::move(it));
    }
}

cell::~cell() = default;

/// Each change adds a queue and takes the one before it out; `q` stays.
void cell::configure()
{
    ++m_queue_changes;
    write_configuration();
}

/// An owner goes on using the service of a queue that was taken out, so none is
/// taken out here.
void cell::move_queues()
{
    m_service = m_service == other_service ? "svc" : other_service;
    write_configuration();
}

void cell::write_configuration()
{
    ++m_version;
    std::vector<std::string> queues{"q"};
    if (m_queue_changes > 1)
    {
        queues.push_back(added_queue().substr(1, 2));
    }
    auto const bytes = m_configuration == configuration_kind::small
                           ? std::size_t{0}
                           : large_sizes[static_cast<std::size_t>(m_version) %
                                         large_sizes.size()];
    m_store->put(
        platform_test::operators_topic, platform_test::configuration_key,
        m_callers == caller_kind::accounts
            ? platform_test::configuration_document(m_version, queues, keys())
        : bytes == 0
            ? platform_test::configuration_document(m_version, queues,
                                                    m_service)
            : platform_test::configuration_document(m_version, queues, bytes));
}

std::vector<platform_test::account_keys> cell::keys() const
{
    std::vector<platform_test::account_keys> out;
    for (std::size_t n = 0; n < accounts; ++n)
    {
        out.push_back({"account-" + std::to_string(n), {}});
        if (m_revoked[n] == 0)
        {
            out.back().keys.push_back(key_of(n));
        }
    }
    return out;
}

std::vector<network::http_field> cell::fields_of(std::size_t account) const
{
    std::vector<network::http_field> out{{"Host", "h"}};
    if (m_callers == caller_kind::accounts)
    {
        out.push_back({"X-Key", key_of(account)});
    }
    return out;
}

std::string cell::added_queue() const
{
    return m_queue_changes < 2 ? std::string{} : queue_of(m_queue_changes);
}

std::string cell::removed_queue() const
{
    return m_queue_changes < 3 ? std::string{} : queue_of(m_queue_changes - 1);
}

network::socket_address cell::callers_of(std::size_t process) const
{
    return m_processes[process].callers;
}

void cell::stop(member& it, int signal, bool must_exit_well)
{
    if (it.stopping)
    {
        // A process that was asked to end may still be killed.
        it.must_exit_well = it.must_exit_well && must_exit_well;
        it.process->signal(signal);
        return;
    }
    it.stopping = true;
    it.must_exit_well = must_exit_well;
    it.asked_at = std::chrono::steady_clock::now();
    it.process->signal(signal);
}

void cell::kill(member& it)
{
    it.held = true;
    stop(it, SIGKILL, false);
}

/// The owner that the store has, or the end.
std::vector<cell::member>::iterator cell::owner()
{
    auto const record = m_store->newest_value(berylhill::cell::owner_key);
    return std::ranges::find_if(
        m_processes, [&](member const& it)
        { return record.find('"' + it.how.name + '"') != record.npos; });
}

void cell::kill_owner()
{
    m_owner_dies_after.reset();
    auto const at = owner();
    if (at != m_processes.end())
    {
        kill(*at);
    }
}

/// The owner, and as many of those after it as the target says: refused, met
/// with silence or reset.
void cell::turn_away(std::size_t target)
{
    static constexpr std::array manners{link_state::open, link_state::silent,
                                        link_state::refusing};
    auto const state = manners[target % manners.size()];
    auto const all = m_processes.size();
    auto const first = static_cast<std::size_t>(owner() - m_processes.begin());
    auto const others =
        target / manners.size() % std::max<std::size_t>(all - 1, 1);
    for (auto n = first; n <= first + others; ++n)
    {
        m_turned_away.insert(n % all);
        auto& link = *m_processes[n % all].to_store;
        link.set(state);
        if (state == link_state::open)
        {
            link.lead_to(m_refusing_address);
        }
        else if (state == link_state::refusing)
        {
            link.reset();
        }
    }
    m_turned_away_since = std::chrono::steady_clock::now();
}

void cell::turn_away_none()
{
    for (auto const n : std::exchange(m_turned_away, {}))
    {
        m_processes[n].to_store->lead_to(m_store_address);
        m_processes[n].to_store->set(link_state::open);
    }
}

/// Every other instance stays with the owner; only later ones reach the rest.
void cell::cut_off_owner(std::size_t target)
{
    auto const at = owner();
    if (at == m_processes.end())
    {
        return;
    }
    m_cut_off = static_cast<std::size_t>(at - m_processes.begin());
    at->to_store->set(link_state::silent);
    at->from_peers->set(link_state::silent);
    auto const token = json_codec::number_or(
        boost::json::parse(m_store->newest_value(berylhill::cell::owner_key)),
        "token");
    for (std::size_t n = 0; n < m_workers.size(); ++n)
    {
        auto const stays = (n + target) % 2 == 0;
        m_workers[n].instance->set_reached_by(
            stays ? platform_test::token_range{.highest = token}
                  : platform_test::token_range{.lowest = token + 1});
    }
}

void cell::cut_off_none()
{
    if (!m_cut_off)
    {
        return;
    }
    auto& it = m_processes[*std::exchange(m_cut_off, std::nullopt)];
    it.to_store->set(link_state::open);
    it.from_peers->set(link_state::open);
    for (auto& each : m_workers)
    {
        each.instance->set_reached_by({});
    }
}

bool cell::must_accept(std::size_t process) const
{
    return !m_turned_away.empty() && !m_turned_away.contains(process) &&
           m_callers == caller_kind::anybody &&
           std::chrono::steady_clock::now() - m_turned_away_since >
               longest_handover;
}

void cell::crash(worker& it)
{
    auto const id = it.instance->id();
    m_seen.crashed(it.instance->life());
    m_seen.disturbed(std::chrono::steady_clock::now());
    ++m_crashes;
    it.instance->restart(m_keeps_ids ? id
                                     : id.substr(0, id.find('+')) + "+" +
                                           std::to_string(m_crashes));
    it.link->reset();
    if (m_keeps_ids)
    {
        // A later life has to be able to be told what not to run.
        it.instance->faults().set_rejected_share(0);
        it.instance->faults().set_late({});
    }
    it.crashes_at.reset();
    if (it.small_counts)
    {
        m_seen.room_changed(it.instance->life(), small_room);
    }
    announce(it);
}

std::vector<std::pair<std::string, std::string>> cell::entries() const
{
    std::vector<std::pair<std::string, std::string>> out;
    for (auto const& it : m_workers)
    {
        out.emplace_back(it.instance->id(),
                         it.instance->heartbeat(it.reached_at));
    }
    return out;
}

/// While the store is down only a later heartbeat tells it.
void cell::announce(worker& it)
{
    if (m_store->down())
    {
        return;
    }
    m_store->put(platform_test::instances_topic, it.instance->id(),
                 it.instance->heartbeat(it.reached_at));
}

/// A task that crashes its instances does so when the start has been answered,
/// or just before.
void cell::started(worker& it, std::string const& task)
{
    auto const now = std::chrono::steady_clock::now();
    m_seen.started(it.instance->life(), task);
    it.instance->carries_out_late() ? m_seen.disturbed(now)
                                    : m_seen.started_promptly(task, now);
    if (m_kind == instance_kind::steady ||
        !task.ends_with(crashing_task_suffix))
    {
        return;
    }
    m_seen.crashes_its_instances(task);
    it.crashes_at = now + crash_pause;
}

void cell::ended(worker& it, std::string const& task, std::string const& how)
{
    constexpr std::size_t ends_for_a_crash = 5;
    constexpr std::chrono::milliseconds until_reported{30};
    m_seen.ended(it.instance->life(), task, how);
    if (m_slow_store && !m_healed && ++m_ends % ends_for_a_crash == 0)
    {
        it.crashes_at = std::chrono::steady_clock::now() + until_reported;
    }
}

/// It shrinks to room for one task, and is whole again later.
void cell::resize(worker& it, ledger::instant now)
{
    it.resizes_at = now + resize_pause;
    auto const shrinks = !it.small_since;
    it.small_since = shrinks ? std::optional{now} : std::nullopt;
    it.small_counts = false;
    it.instance->set_cpu(
        shrinks ? task_cpu : platform_test::instance_stand_in::cpu_millis);
    if (!shrinks)
    {
        m_seen.room_changed(it.instance->life(), room);
    }
    announce(it);
}

void cell::look_after_instances()
{
    auto const now = std::chrono::steady_clock::now();
    for (auto& it : m_workers)
    {
        if (it.crashes_at && now >= *it.crashes_at)
        {
            crash(it);
        }
        if (m_kind == instance_kind::steady)
        {
            continue;
        }
        if (!m_healed && now >= it.resizes_at)
        {
            resize(it, now);
        }
        if (it.small_since && !it.small_counts &&
            now - *it.small_since > shrunk_slack)
        {
            it.small_counts = true;
            m_seen.room_changed(it.instance->life(), small_room);
        }
    }
}

void cell::begin(fault const& it)
{
    auto& at = m_processes[it.target % m_processes.size()];
    auto& near = m_workers[it.target % m_workers.size()];
    switch (it.kind)
    {
    case fault_kind::kill:
        kill(at);
        return;
    case fault_kind::terminate:
        stop(at, SIGTERM, true);
        return;
    case fault_kind::freeze:
        at.must_exit_well = false;
        at.process->signal(SIGSTOP);
        return;
    case fault_kind::kill_all:
        for (auto& each : m_processes)
        {
            stop(each, SIGKILL, false);
        }
        return;
    case fault_kind::reload:
        platform_test::write_settings(at.how);
        if (!at.process->ended())
        {
            at.process->signal(SIGHUP);
        }
        return;
    case fault_kind::store_link_silent:
        at.to_store->set(link_state::silent);
        return;
    case fault_kind::store_link_answers_lost:
        at.to_store->set(link_state::answers_lost);
        return;
    case fault_kind::store_link_slow:
        at.to_store->set(link_state::slow);
        return;
    case fault_kind::store_link_reset:
        at.to_store->set(link_state::refusing);
        at.to_store->reset();
        return;
    case fault_kind::instance_link_silent:
        near.link->set(link_state::silent);
        return;
    case fault_kind::instance_link_reset:
        near.link->reset();
        return;
    case fault_kind::caller_link_reset:
        at.from_callers->reset();
        return;
    case fault_kind::store_down:
        m_store->set_down(true);
        return;
    case fault_kind::store_loses_answers:
        m_store->set_lost_share(lost_share);
        return;
    case fault_kind::instance_crash:
        crash(near);
        return;
    case fault_kind::change_configuration:
        configure();
        return;
    case fault_kind::instance_rejects:
        near.instance->faults().set_rejected_share(rejected_share);
        return;
    case fault_kind::orders_late:
        make_orders_late(late_share);
        return;
    case fault_kind::revoke_key:
        ++m_revoked[it.target % accounts];
        configure();
        return;
    case fault_kind::kill_owner:
        m_owner_dies_after = m_store->lost();
        return;
    case fault_kind::store_turns_away:
        turn_away(it.target);
        return;
    case fault_kind::island:
        cut_off_owner(it.target);
        return;
    case fault_kind::move_queues:
        move_queues();
        return;
    }
}

void cell::end(fault const& it)
{
    auto& at = m_processes[it.target % m_processes.size()];
    auto& near = m_workers[it.target % m_workers.size()];
    switch (it.kind)
    {
    case fault_kind::kill:
        at.held = false;
        return;
    case fault_kind::freeze:
        at.process->signal(SIGCONT);
        return;
    case fault_kind::store_link_silent:
    case fault_kind::store_link_answers_lost:
    case fault_kind::store_link_slow:
    case fault_kind::store_link_reset:
        at.to_store->set(link_state::open);
        return;
    case fault_kind::instance_link_silent:
        near.link->set(link_state::open);
        return;
    case fault_kind::store_down:
        m_store->set_down(false);
        return;
    case fault_kind::store_loses_answers:
        m_store->set_lost_share(0);
        return;
    case fault_kind::instance_rejects:
        near.instance->faults().set_rejected_share(0);
        return;
    case fault_kind::orders_late:
        make_orders_late(0);
        return;
    case fault_kind::store_turns_away:
        turn_away_none();
        return;
    case fault_kind::island:
        cut_off_none();
        return;
    case fault_kind::revoke_key:
        --m_revoked[it.target % accounts];
        configure();
        return;
    case fault_kind::kill_owner:
        if (m_owner_dies_after)
        {
            kill_owner();
        }
        // Which process it was is not kept.
        for (auto& each : m_processes)
        {
            each.held = false;
        }
        return;
    default:
        return;
    }
}

void cell::make_orders_late(double share)
{
    for (auto& it : m_workers)
    {
        it.instance->faults().set_late({.share = share});
    }
}

void cell::look_after_processes()
{
    if (m_owner_dies_after && m_store->lost() > *m_owner_dies_after)
    {
        kill_owner();
    }
    auto const now = std::chrono::steady_clock::now();
    for (auto& it : m_processes)
    {
        if (!it.process->ended())
        {
            if (it.must_exit_well && now - it.asked_at > longest_stop)
            {
                m_seen.found(it.how.name + " does not end when it is asked to");
                it.must_exit_well = false;
                it.process->signal(SIGKILL);
            }
            continue;
        }
        if (!it.stopping)
        {
            m_seen.found(it.how.name + " ended by itself, status " +
                         std::to_string(it.process->status()));
        }
        if (it.must_exit_well && it.process->status() != 0)
        {
            m_seen.found(it.how.name + " was asked to end: status " +
                         std::to_string(it.process->status()));
        }
        it.must_exit_well = false;
        if (!it.held)
        {
            it.stopping = false;
            it.process = platform_test::start(it.how);
        }
    }
}

void cell::set_store_delay(std::chrono::milliseconds it)
{
    m_store->set_append_delay(it);
    m_store->set_read_delay(it);
}

void cell::heal()
{
    m_store->set_down(false);
    m_store->set_lost_share(0);
    set_store_delay({});
    turn_away_none();
    cut_off_none();
    for (auto& it : m_processes)
    {
        it.held = false;
        it.process->signal(SIGCONT);
        it.to_store->set(link_state::open);
        it.from_callers->set(link_state::open);
    }
    for (auto& it : m_workers)
    {
        it.link->set(link_state::open);
        it.instance->faults().set_rejected_share(0);
        it.instance->faults().set_late({});
        if (it.small_since)
        {
            resize(it, std::chrono::steady_clock::now());
        }
    }
    m_healed = true;
}

} // namespace berylhill::soak
