#include <cell/ownership.hpp>

#include <base/log.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace berylhill::cell
{

namespace
{

/// Successors claim one after the other, so that the first one's claim is in
/// the log, or announced, when the next one checks.
constexpr base::duration claim_step = std::chrono::milliseconds{25};

/// Interval between processes that do not follow the log: they look for another
/// claim before their own, so one that is stored or announced within this time
/// saves the next one's.
constexpr base::duration late_claim_step = std::chrono::milliseconds{150};

/// While the other processes are unknown, an instance this small lets larger
/// ones claim first.
constexpr std::int64_t small_millicores = 200;
constexpr base::duration small_delay = std::chrono::milliseconds{250};

/// Least time after which a process that waits for its turn looks for another
/// claim: most learn of one by its announcement before.
constexpr base::duration min_lookup_delay = std::chrono::milliseconds{150};

/// The records are given up when none has arrived for this long, longer than a
/// page takes on the link of a small machine.
constexpr base::duration restore_stall_limit = std::chrono::seconds{4};

/// A process that could not read the records makes no claim for this long.
constexpr base::duration restore_rest = std::chrono::seconds{5};

/// Time limit of a claim, after which the owner is looked up again.
constexpr base::duration claim_limit = std::chrono::milliseconds{2'000};

/// Longer waits for a turn are logged.
constexpr base::duration logged_claim_delay = std::chrono::milliseconds{500};

/// Minimum interval between two log lines about withheld claims, of which a
/// process has several a second while the store is away.
constexpr base::duration withheld_report_pause = std::chrono::seconds{1};

/// Pause after a claim that could not be made.
constexpr base::duration claim_retry = std::chrono::milliseconds{150};

} // namespace

/// Returns how many other processes precede this one in the succession, an
/// order on which all processes agree.
std::int64_t ownership::succession_rank() const
{
    auto const& named = m_peers.peers;
    auto const before = std::ranges::count_if(
        named, [this](auto const& it)
        { return it.address != m_owner.address && comes_before(it, m_self); });
    // Processes that are not in the list are spread by a hash of their names.
    constexpr std::size_t first_turns = 8;
    auto const unnamed =
        named.empty() ? first_turns
        : before == std::ssize(named) && m_watchers > named.size()
            ? m_watchers - named.size()
            : 1;
    return before + static_cast<std::int64_t>(
                        std::hash<std::string>{}(m_self.instance) % unnamed);
}

base::duration ownership::claim_delay() const
{
    auto const before = succession_rank();
    auto const early = std::min(before, standby_count);
    auto const out = claim_step * early + late_claim_step * (before - early);
    if (m_peers.peers.empty())
    {
        return claim_step * before + (m_self.millicores < small_millicores
                                          ? small_delay
                                          : base::duration{0});
    }
    return out;
}

/// Returns the time until another process's claim is looked for while this one
/// waits for its turn. Spread over an interval, since all begin to wait at the
/// same moment.
base::duration ownership::lookup_delay() const
{
    constexpr std::size_t parts = 16;
    auto const part = static_cast<std::int64_t>(
        std::hash<std::string>{}(m_self.instance) / parts % parts);
    return min_lookup_delay +
           watch_wait(m_watchers) * part / static_cast<std::int64_t>(parts);
}

void ownership::claim(char const* why)
{
    if (m_leaving)
    {
        run_after(claim_retry, [this] { find_owner(); });
        return;
    }
    ++*m_generation;
    m_state = ownership_state::claiming;
    m_claim_reason = why;
    m_replaced_owners = 0;
    auto const now = m_clock.now();
    m_turn = std::max(now + claim_delay(), m_rests_until);
    if (m_turn - now > logged_claim_delay)
    {
        base::log(base::log_level::info, "claim_waits",
                  {{"why", why},
                   {"rank", succession_rank()},
                   {"delay_s", base::seconds_of(m_turn - now)}});
    }
    wait_for_turn();
}

/// Claims without waiting for a turn, because the owner asked this process
/// alone to take over. The owner goes on until the claim is stored.
void ownership::claim_at_once(char const* why)
{
    if (m_leaving || m_rests_until > m_clock.now())
    {
        run_after(claim_retry, [this] { probe_owner_again(); });
        return;
    }
    ++*m_generation;
    m_state = ownership_state::claiming;
    m_claim_reason = why;
    m_turn = m_clock.now();
    begin_claim();
}

/// A process whose requests the store rejects would only delay the processes
/// that can claim. It goes on looking for an owner and reading the log, which
/// also shows when the store serves it again. Returns whether the claim was
/// withheld.
bool ownership::withhold_claim()
{
    auto const now = m_clock.now();
    if (!m_store.turned_away(now))
    {
        return false;
    }
    if (now >= m_next_withheld_report)
    {
        m_next_withheld_report = now + withheld_report_pause;
        base::log(base::log_level::info, "claim_withheld",
                  {{"why", m_claim_reason}, {"former_token", m_owner.token}});
    }
    m_lookup.find(
        [this](std::optional<found_claim> const& it)
        {
            if (it)
            {
                on_owner_reported(it->owner);
            }
        });
    run_after(claim_retry, [this] { probe_owner_again(); });
    return true;
}

/// The winner announces itself to the processes in its peer list, which has few
/// entries just after a start. So a process that waits longer also looks for
/// other claims; otherwise the last of hundreds would call the former owner for
/// many seconds.
void ownership::wait_for_turn()
{
    auto const left = m_turn - m_clock.now();
    auto const pause = lookup_delay();
    if (left <= pause)
    {
        run_after(std::max(left, base::duration{0}), [this] { begin_claim(); });
        return;
    }
    run_after(pause, [this] { find_other_claim(); });
}

void ownership::find_other_claim()
{
    m_lookup.find(
        [this, mine = *m_generation](std::optional<found_claim> const& it)
        {
            if (*m_generation != mine)
            {
                return;
            }
            if (it && it->owner.token > m_owner.token)
            {
                adopt(it->owner);
                return;
            }
            wait_for_turn();
        });
}

/// A process that has read all records claims at the end that it knows. Another
/// one looks for the newest claim and appends its own where the log ended then.
void ownership::begin_claim()
{
    if (withhold_claim())
    {
        return;
    }
    m_claim_began = m_clock.now();
    base::log(base::log_level::info, "claim_begins",
              {{"why", m_claim_reason},
               {"former", m_owner.instance},
               {"former_token", m_owner.token},
               {"followed", m_follower.ready() ? 1 : 0}});
    auto const retry = [this]
    {
        run_after(claim_retry, [this] { probe_owner_again(); });
    };
    if (m_follower.ready())
    {
        m_follower.catch_up(
            [this, retry, alive = m_generation,
             mine = *m_generation](bool up_to_date)
            {
                // A claim that was read meanwhile has changed the state.
                if (*alive == mine)
                {
                    up_to_date ? append_claim(m_follower.next_offset())
                               : retry();
                }
            });
        return;
    }
    m_lookup.find(
        [this, retry,
         mine = *m_generation](std::optional<found_claim> const& it)
        {
            if (*m_generation != mine)
            {
                return;
            }
            if (!it)
            {
                retry();
                return;
            }
            if (it->owner.token > m_owner.token)
            {
                adopt(it->owner);
                return;
            }
            append_claim(it->log_end);
        });
}

void ownership::append_claim(std::uint64_t at)
{
    if (m_append.busy())
    {
        // The outcome of an earlier claim is still being resolved.
        run_after(claim_retry, [this] { begin_claim(); });
        return;
    }
    auto const claimant =
        owner_view{at + 1, m_self.instance, m_self.address, m_incarnation};
    m_append.begin(at, {{owner_key, text_of(claimant)}}, claim_limit,
                   [this, claimant, at,
                    sent_at = m_clock.now()](reliable_append_outcome it)
                   { claimed(it, claimant, at, sent_at); });
}

void ownership::claimed(reliable_append_outcome it,
                        owner_view const& claimant,
                        std::uint64_t at,
                        base::instant sent_at)
{
    if (it != reliable_append_outcome::stored)
    {
        base::log(
            base::log_level::info, "claim_failed",
            {{"token", claimant.token},
             {"overtaken", it == reliable_append_outcome::overtaken ? 1 : 0}});
        if (m_state != ownership_state::claiming)
        {
            return;
        }
        if (it == reliable_append_outcome::rejected ||
            it == reliable_append_outcome::rejected_in_doubt)
        {
            // Nothing that happens soon lets the store take the next one.
            run_after(claim_limit, [this] { find_owner(); });
            return;
        }
        find_owner();
        return;
    }
    if (m_leaving || m_owner.token > claimant.token)
    {
        // The next process that misses an owner claims with a higher token.
        find_owner();
        return;
    }
    ++*m_generation;
    m_claim_sent_at = sent_at;
    auto const former = std::exchange(m_owner, claimant);
    m_rounds_isolated = 0;
    m_rounds_alone = 0;
    m_released = false;
    base::log(base::log_level::info, "claim_won",
              {{"token", claimant.token},
               {"records", std::uint64_t{m_replica.records().size()}},
               {"took_s", base::seconds_of(m_clock.now() - m_claim_began)},
               {"ownerless_s", base::seconds_of(ownerless_for())}});
    announce(former);
    m_listener.claimed();
    if (m_follower.ready() && m_follower.next_offset() >= at)
    {
        restored();
        return;
    }
    restore();
}

void ownership::announce(owner_view const& former)
{
    std::set<network::socket_address> told{former.address};
    for (auto const& other : m_peers.peers)
    {
        told.insert(other.address);
    }
    told.erase(m_self.address);
    told.erase(network::socket_address{});
    for (auto const& other : told)
    {
        m_peer_client.announce(other, m_owner);
    }
}

/// Reads the records before the claim. Whatever a reading that has already
/// begun has missed is read from the log up to the claim.
void ownership::restore()
{
    m_state = ownership_state::restoring;
    m_restore_began = m_clock.now();
    if (!m_follower.running())
    {
        m_follower.start();
    }
    check_restored();
}

void ownership::check_restored()
{
    auto const claim_offset = m_owner.token - 1;
    if (m_follower.ready() && m_follower.next_offset() >= claim_offset)
    {
        restored();
        return;
    }
    auto const progress = std::max(m_restore_began, m_follower.last_progress());
    if (m_clock.now() - progress > restore_stall_limit)
    {
        give_up_restoring();
        return;
    }
    run_after(claim_step, [this] { check_restored(); });
}

void ownership::restored()
{
    ++*m_generation;
    if (m_state == ownership_state::restoring)
    {
        base::log(
            base::log_level::info, "owner_restored",
            {{"token", m_owner.token},
             {"records", std::uint64_t{m_replica.records().size()}},
             {"took_s", base::seconds_of(m_clock.now() - m_restore_began)}});
    }
    m_state = ownership_state::owning;
    m_follower.stop();
    m_listener.began(m_replica.records(),
                     {m_owner.token, m_owner.token, m_claim_sent_at});
    m_replica.clear();
}

/// Another process may reach the store better, so this one lets it claim.
void ownership::give_up_restoring()
{
    base::log(base::log_level::warning, "restore_given_up",
              {{"token", m_owner.token},
               {"took_s", base::seconds_of(m_clock.now() - m_restore_began)}});
    m_follower.stop();
    m_replica.clear();
    yield(restore_rest);
    m_listener.ended();
}

} // namespace berylhill::cell
