#include <cell/ownership.hpp>

#include <base/log.hpp>

#include <algorithm>
#include <utility>

namespace berylhill::cell
{

namespace
{

/// Added to the time that a watch is kept open before the owner counts as
/// silent: longer than the pauses of an owner's processor, which take tenths of
/// a second.
constexpr base::duration usual_watch_slack = std::chrono::milliseconds{300};

/// Timeout of the second, short request to an owner that did not answer, and of
/// the requests to other processes.
constexpr base::duration probe_timeout = std::chrono::milliseconds{200};

/// The same while the owner takes over: thousands of requests and answers are
/// in line before a watch then. If hundreds of processes ask again after the
/// usual time, the owner falls further behind and is considered lost.
constexpr base::duration takeover_watch_slack =
    std::chrono::milliseconds{1'000};
constexpr base::duration takeover_probe_timeout =
    std::chrono::milliseconds{600};

/// Pause between rounds of suspicion.
constexpr base::duration suspect_pause = std::chrono::milliseconds{100};

/// A process that reaches no other is probably cut off itself; it claims only
/// after this many rounds.
constexpr std::uint32_t isolated_rounds = 8;

/// A process that knows no others claims after this many rounds, which take 1.8
/// s.
constexpr std::uint32_t alone_rounds = 3;

/// How many other processes are asked whether they reach the owner.
constexpr std::size_t others_asked = 5;

/// How long the owner waits for this process to show whether the store serves
/// it, if the store is slow to answer.
constexpr base::duration evidence_wait = std::chrono::milliseconds{100};

/// A process shows its contact this often, in a large cell less often: all of
/// them make at most 200 calls a second for it. One that is turned away shows
/// nothing, and the store counts and bills refused calls.
constexpr base::duration min_evidence_pause = std::chrono::milliseconds{100};
constexpr base::duration refused_evidence_pause = std::chrono::seconds{1};
constexpr base::duration evidence_pause_per_watcher =
    std::chrono::milliseconds{5};

} // namespace

char const* name_of(owner_loss it)
{
    switch (it)
    {
    case owner_loss::refused:
        return "refused";
    case owner_loss::restarted:
        return "restarted";
    case owner_loss::silent:
        return "silent";
    }
    return "other";
}

void ownership::watch(base::duration wait)
{
    note_contact();
    m_peer_client.watch(
        m_owner.address,
        {m_self, m_peers.digest, m_listener.configuration_here(), evidence()},
        wait, wait + (wait.count() == 0 ? probe_limit() : watch_slack()),
        [this, alive = m_generation, mine = *m_generation,
         asked_at = m_clock.now()](peer_result<watch_answer> const& it)
        {
            if (*alive == mine)
            {
                watched(it, asked_at);
            }
        });
}

void ownership::watched(peer_result<watch_answer> const& it,
                        base::instant asked_at)
{
    if (!it.answer)
    {
        // A request may be lost with its connection; a second one on a new
        // connection shows whether the owner is gone.
        if (++m_failures < 2)
        {
            watch(base::duration{0});
            return;
        }
        lost(it.refused ? owner_loss::refused : owner_loss::silent);
        return;
    }
    auto const& answer = *it.answer;
    m_listener.on_configuration_reported(answer.configuration, asked_at,
                                         m_owner.address);
    if (!answer.owns || answer.owner.incarnation != m_owner.incarnation)
    {
        if (answer.owner.token > m_owner.token)
        {
            adopt(answer.owner);
            return;
        }
        if (answer.leaving)
        {
            m_overloaded_owners = answer.overloaded_owners;
            claim("owner_leaves");
            return;
        }
        lost(owner_loss::restarted);
        return;
    }
    m_listener.on_list_end_reported(answer.list_end, asked_at);
    m_failures = 0;
    m_rounds_isolated = 0;
    m_rounds_alone = 0;
    m_heard = true;
    m_owner_restoring = answer.restoring;
    m_owner_taking_over = answer.taking_over;
    m_watchers = answer.watchers;
    note_stamp(answer.stamp);
    // An owner that runs an older release sends no digest and the full list
    // each time.
    if (answer.peers.digest != m_peers.digest || answer.peers.digest == 0)
    {
        m_peers = answer.peers;
    }
    update_following();
    if (answer.leaving)
    {
        m_overloaded_owners = answer.overloaded_owners;
        claim("owner_leaves");
        return;
    }
    if (act_on_trouble(answer))
    {
        return;
    }
    watch(watch_interval());
}

/// Claims, or shows evidence, if the owner has trouble with the store. Returns
/// whether it did; the next watch must not be begun then.
bool ownership::act_on_trouble(watch_answer const& it)
{
    if (it.successor == m_self.address)
    {
        m_replaced_owners = it.replaced_owners + 1;
        claim_at_once("named_successor");
        return true;
    }
    auto const now = m_clock.now();
    auto const named = it.successor != network::socket_address{};
    if (!named && should_replace(trouble_seen(it, now)))
    {
        claim("owner_without_store");
        return true;
    }
    if (it.asks_evidence && now >= m_next_evidence)
    {
        auto const least = m_store.turned_away(now) ? refused_evidence_pause
                                                    : min_evidence_pause;
        m_next_evidence =
            now + std::max(least, evidence_pause_per_watcher *
                                      static_cast<std::int64_t>(m_watchers));
        show_evidence();
        return true;
    }
    return false;
}

watched_trouble ownership::trouble_seen(watch_answer const& it,
                                        base::instant now) const
{
    watched_trouble out;
    out.stuck = it.store_stuck;
    out.refused = it.store_refuses;
    if (auto const& at = m_store.served_at(); at)
    {
        out.served_ago = now - *at;
    }
    out.served_for = m_store.served_for(now);
    out.names_successors = it.stamp != 0;
    return out;
}

/// Calls the store and then tells the owner whether it was served. A slow store
/// must not delay the watch, which shows whether the owner is there.
void ownership::show_evidence()
{
    auto const go_on = [this]
    {
        ++*m_generation;
        watch(watch_interval());
    };
    m_lookup.find(
        [this, go_on,
         mine = *m_generation](std::optional<found_claim> const& it)
        {
            if (it && it->owner.token > m_owner.token)
            {
                on_owner_reported(it->owner);
                return;
            }
            if (*m_generation == mine)
            {
                go_on();
            }
        });
    run_after(evidence_wait, go_on);
}

store_evidence ownership::evidence() const
{
    return {m_served_after, m_store.turned_away(m_clock.now())};
}

/// Records whether the store has served a call since the last stamp arrived.
void ownership::note_contact()
{
    if (m_store.served_at() && *m_store.served_at() >= m_stamp_at)
    {
        m_served_after = m_stamp;
    }
}

void ownership::note_stamp(std::int64_t stamp)
{
    note_contact();
    m_stamp = stamp;
    m_stamp_at = m_clock.now();
}

/// Standbys watch at the shortest interval, so that they detect a silent owner
/// first in cells of any size.
base::duration ownership::watch_interval() const
{
    return watch_wait(is_standby() ? 0 : m_watchers);
}

base::duration ownership::watch_slack() const
{
    return m_owner_taking_over ? takeover_watch_slack : usual_watch_slack;
}

void ownership::lost(owner_loss why)
{
    not_heard();
    base::log(base::log_level::warning, "owner_lost",
              {{"owner", m_owner.instance},
               {"token", m_owner.token},
               {"why", name_of(why)}});
    m_state = ownership_state::suspecting;
    suspect(why);
}

void ownership::suspect(owner_loss why)
{
    ++*m_generation;
    m_others_hear = false;
    m_others_answer = false;
    m_open_probes = 0;
    std::vector<peer> asked;
    for (auto const& it : m_peers.peers)
    {
        if (it.address != m_self.address && it.address != m_owner.address &&
            asked.size() < others_asked)
        {
            asked.push_back(it);
        }
    }
    if (asked.empty() && why == owner_loss::silent)
    {
        suspect_alone();
        return;
    }
    if (asked.empty())
    {
        claim("owner_lost");
        return;
    }
    m_open_probes = asked.size();
    for (auto const& it : asked)
    {
        m_peer_client.watch(
            it.address,
            {m_self, 0, m_listener.configuration_here(), std::nullopt},
            base::duration{0}, probe_timeout,
            [this, from = it.address, alive = m_generation,
             mine = *m_generation,
             asked_at = m_clock.now()](peer_result<watch_answer> const& result)
            {
                if (*alive != mine)
                {
                    return;
                }
                if (result.answer)
                {
                    m_listener.on_configuration_reported(
                        result.answer->configuration, asked_at, from);
                    m_others_answer = true;
                    if (result.answer->owner.token > m_owner.token)
                    {
                        adopt(result.answer->owner);
                        return;
                    }
                    m_others_hear =
                        m_others_hear ||
                        (result.answer->owner_heard &&
                         result.answer->owner.token == m_owner.token);
                }
                if (--m_open_probes == 0)
                {
                    suspected();
                }
            });
    }
}

/// A process that has just started knows no others to ask. An owner that took
/// over a moment ago sends requests to thousands of instances and may answer
/// late, so it is asked again with longer timeouts before its work is claimed.
void ownership::suspect_alone()
{
    if (++m_rounds_alone >= alone_rounds)
    {
        claim("owner_lost");
        return;
    }
    run_after(suspect_pause, [this] { probe_owner_again(); });
}

base::duration ownership::probe_limit() const
{
    auto const first =
        m_owner_taking_over ? takeover_probe_timeout : probe_timeout;
    return first * (1U << std::min(m_rounds_alone, alone_rounds));
}

void ownership::suspected()
{
    if (m_others_answer && !m_others_hear)
    {
        claim("owner_lost");
        return;
    }
    if (!m_others_answer && ++m_rounds_isolated >= isolated_rounds)
    {
        claim("owner_and_others_lost");
        return;
    }
    run_after(suspect_pause, [this] { probe_owner_again(); });
}

/// Asks the owner once more; without an answer it is considered lost at once.
void ownership::probe_owner_again()
{
    m_state = ownership_state::watching;
    m_failures = 1;
    watch(base::duration{0});
}

/// A new owner's list names few processes at first. One that it does not name
/// is no standby, or each of hundreds would begin to read the log.
bool ownership::is_standby() const
{
    return succession_rank() < standby_count &&
           std::ranges::find(m_peers.peers, m_self) != m_peers.peers.end();
}

/// Starts or stops following the log. Only standbys follow it, or each process
/// would receive the whole traffic of the cell; others read it from the start
/// if they have to claim.
void ownership::update_following()
{
    auto const wanted = is_standby();
    if (wanted && !m_follower.running())
    {
        m_follower.start();
    }
    if (!wanted && m_follower.running())
    {
        m_follower.stop();
        m_replica.clear();
    }
}

} // namespace berylhill::cell
