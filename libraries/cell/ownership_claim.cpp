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

/// Interval between processes that do not follow the log. They read all of it
/// before they claim, and dozens that do so at once slow down the one that
/// wins.
constexpr base::duration late_claim_step = std::chrono::milliseconds{150};

/// While the other processes are unknown, an instance this small lets larger
/// ones claim first.
constexpr std::int64_t small_millicores = 200;
constexpr base::duration small_delay = std::chrono::milliseconds{250};

/// Time limit of a claim, after which the owner is looked up again.
constexpr base::duration claim_limit = std::chrono::milliseconds{2'000};

/// Longer waits for a turn are logged.
constexpr base::duration logged_claim_delay = std::chrono::milliseconds{500};

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

void ownership::claim(char const* why)
{
    if (m_leaving)
    {
        run_after(claim_retry, [this] { find_owner(); });
        return;
    }
    ++*m_generation;
    m_state = ownership_state::claiming;
    // Processes that do not follow the log start reading it only when their
    // turn comes: dozens that read it at once would delay the first one to
    // claim. Nothing is logged before, because a new owner may appear during
    // the wait.
    auto const delay = claim_delay();
    if (delay > logged_claim_delay)
    {
        base::log(base::log_level::info, "claim_waits",
                  {{"why", why},
                   {"rank", succession_rank()},
                   {"delay_s", base::seconds_of(delay)}});
    }
    run_after(delay,
              [this, why]
              {
                  base::log(base::log_level::info, "claim_begins",
                            {{"why", why},
                             {"former", m_owner.instance},
                             {"former_token", m_owner.token}});
                  m_claim_began = m_clock.now();
                  check_owner_before_claim();
              });
}

/// Another process may have claimed while this one waited. A process that does
/// not follow the log would notice that only after reading all its records, and
/// dozens that do so at once occupy the links of small machines for seconds.
void ownership::check_owner_before_claim()
{
    if (m_follower.running())
    {
        claim_now();
        return;
    }
    m_lookup.find(
        [this, mine = *m_generation](std::optional<owner_view> const& it)
        {
            if (*m_generation != mine)
            {
                return;
            }
            if (it && it->token > m_owner.token)
            {
                adopt(*it);
                return;
            }
            m_follower.start();
            claim_now();
        });
}

void ownership::claim_now()
{
    if (!m_follower.ready())
    {
        if (m_clock.now() - m_claim_began > claim_limit)
        {
            probe_owner_again();
            return;
        }
        run_after(claim_step, [this] { claim_now(); });
        return;
    }
    m_follower.catch_up(
        [this, alive = m_generation, mine = *m_generation](bool up_to_date)
        {
            // A claim that was read meanwhile has changed the state.
            if (*alive != mine)
            {
                return;
            }
            if (!up_to_date)
            {
                run_after(claim_retry, [this] { probe_owner_again(); });
                return;
            }
            if (m_append.busy())
            {
                // The outcome of an earlier claim is still being resolved.
                run_after(claim_retry, [this] { claim_now(); });
                return;
            }
            auto const at = m_follower.next_offset();
            auto const claimant = owner_view{at + 1, m_self.instance,
                                             m_self.address, m_incarnation};
            m_append.begin(at, {{owner_key, text_of(claimant)}}, claim_limit,
                           [this, claimant, at](reliable_append_outcome it)
                           { claimed(it, claimant, at); });
        });
}

void ownership::claimed(reliable_append_outcome it,
                        owner_view const& claimant,
                        std::uint64_t at)
{
    if (it != reliable_append_outcome::stored)
    {
        base::log(
            base::log_level::info, "claim_failed",
            {{"token", claimant.token},
             {"overtaken", it == reliable_append_outcome::overtaken ? 1 : 0}});
        if (m_state == ownership_state::claiming)
        {
            find_owner();
        }
        return;
    }
    if (m_leaving || m_owner.token > claimant.token)
    {
        // The next process that misses an owner claims with a higher token.
        find_owner();
        return;
    }
    ++*m_generation;
    auto const former = std::exchange(m_owner, claimant);
    m_rounds_isolated = 0;
    m_rounds_alone = 0;
    m_replica.set(owner_key, text_of(claimant));
    m_follower.stop();
    base::log(base::log_level::info, "claim_won",
              {{"token", claimant.token},
               {"records", std::uint64_t{m_replica.records().size()}},
               {"took_s", base::seconds_of(m_clock.now() - m_claim_began)},
               {"ownerless_s", base::seconds_of(ownerless_for())}});
    m_state = ownership_state::owning;
    m_listener.began(m_replica.records(), claimant.token, at + 1);
    m_replica.clear();
    std::set<network::socket_address> told{former.address};
    for (auto const& other : m_peers.peers)
    {
        told.insert(other.address);
    }
    told.erase(m_self.address);
    told.erase(network::socket_address{});
    for (auto const& other : told)
    {
        m_peer_client.announce(other, claimant);
    }
}

} // namespace berylhill::cell
