#include <cell/ownership.hpp>

#include <base/log.hpp>

#include <set>
#include <utility>

namespace berylhill::cell
{

namespace
{

/// How long the owner keeps a watch open before it answers. Shorter finds a
/// silent owner sooner; each costs the owner a message.
constexpr base::duration watch_wait = std::chrono::milliseconds{250};

/// Added to it before the owner counts as silent: above a pause of the
/// owner's processor, which comes in tenths of a second.
constexpr base::duration watch_slack = std::chrono::milliseconds{300};

/// Until a second, short question to an owner that gave no answer is given
/// up, and the questions to the others.
constexpr base::duration probe_timeout = std::chrono::milliseconds{200};

/// Between two rounds of suspicion.
constexpr base::duration suspect_pause = std::chrono::milliseconds{100};

/// A process that reaches none of the others is likely cut off itself; it
/// claims only after so many rounds.
constexpr std::uint32_t isolated_rounds = 8;

/// How many others are asked whether they hear the owner.
constexpr std::size_t others_asked = 5;

/// Successors claim one after the other, so that the first one's claim is in
/// the log, or announced, when the next one looks.
constexpr base::duration claim_step = std::chrono::milliseconds{25};

/// So many processes are ready to take the work over at once: one, and one
/// more for the case that both it and the owner are lost.
constexpr std::int64_t standbys = 2;

/// Until a claim is given up, to look again at who owns.
constexpr base::duration claim_limit = std::chrono::milliseconds{2'000};

/// After a claim that could not be made.
constexpr base::duration claim_retry = std::chrono::milliseconds{150};

/// An owner whose store has taken nothing for so long is replaced by a
/// process that reaches the store. A slow store takes up to half a second for
/// an append; one that refuses says at once that it will not.
constexpr base::duration owner_stuck = std::chrono::milliseconds{900};
constexpr base::duration owner_refused = std::chrono::milliseconds{200};

/// Own reads of the store that are older say nothing about reaching it.
constexpr base::duration own_read_age = std::chrono::milliseconds{1'200};

/// Standbys read the cell's log this often. They need it when they claim,
/// and then read what is missing.
constexpr follow_pace standby_pace{
    std::chrono::milliseconds{0}, std::chrono::milliseconds{500},
    std::chrono::milliseconds{400}, std::chrono::milliseconds{250}};

} // namespace

ownership::ownership(boost::asio::io_context& loop,
                     base::clock const& clock,
                     keyed_log& cell,
                     peer_client& peers,
                     store_latency& latency,
                     peer self,
                     std::string incarnation,
                     listener& told)
    : m_loop{loop}
    , m_clock{clock}
    , m_peer_client{peers}
    , m_self{std::move(self)}
    , m_incarnation{std::move(incarnation)}
    , m_told{told}
    , m_follower{loop, clock, cell, "cell", standby_pace}
    , m_append{loop, clock, cell, latency}
    , m_timer{loop}
{
    m_follower.on_change(
        [this](auto const& key, auto const& value)
        {
            m_replica.set(key, value);
            if (key == owner_key && !value.empty())
            {
                adopt(m_replica.owner());
            }
        });
    m_follower.on_caught_up([this] { log_read(); });
}

ownership::~ownership()
{
    ++*m_generation;
}

void ownership::start()
{
    m_follower.start();
}

void ownership::log_read()
{
    if (m_state != ownership_state::starting)
    {
        return;
    }
    if (m_owner.token == 0)
    {
        claim("no_owner");
        return;
    }
    ++*m_generation;
    m_state = ownership_state::watching;
    m_failures = 0;
    watch(base::duration{0});
}

void ownership::adopt(owner_view const& it)
{
    if (it.token <= m_owner.token)
    {
        return;
    }
    m_owner = it;
    m_heard = false;
    m_failures = 0;
    base::log(base::log_level::info, "owner_seen",
              {{"owner", it.instance}, {"token", it.token}});
    if (m_state == ownership_state::owning ||
        m_state == ownership_state::starting)
    {
        return;
    }
    ++*m_generation;
    m_state = ownership_state::watching;
    watch(base::duration{0});
}

void ownership::heard_of(owner_view const& it)
{
    if (it.token <= m_owner.token)
    {
        return;
    }
    if (m_state == ownership_state::owning)
    {
        deposed("announced");
    }
    adopt(it);
}

void ownership::watch(base::duration wait)
{
    m_peer_client.watch(m_owner.address, m_self, wait,
                        wait +
                            (wait.count() == 0 ? probe_timeout : watch_slack),
                        [this, alive = m_generation, mine = *m_generation,
                         wait](peer_result<watch_answer> const& it)
                        {
                            if (*alive == mine)
                            {
                                watched(it, wait);
                            }
                        });
}

void ownership::watched(peer_result<watch_answer> const& it, base::duration)
{
    if (!it.answer)
    {
        // One question may be lost with its connection; a second one on a
        // fresh connection tells.
        if (++m_failures < 2)
        {
            watch(base::duration{0});
            return;
        }
        lost(it.refused ? "refused" : "silent");
        return;
    }
    auto const& answer = *it.answer;
    if (!answer.owns || answer.owner.incarnation != m_owner.incarnation)
    {
        if (answer.owner.token > m_owner.token)
        {
            adopt(answer.owner);
            return;
        }
        if (answer.leaving)
        {
            claim("owner_leaves");
            return;
        }
        lost("restarted");
        return;
    }
    m_failures = 0;
    m_isolated = 0;
    m_heard = true;
    m_peers = answer.peers;
    follow_or_not();
    if (answer.leaving)
    {
        claim("owner_leaves");
        return;
    }
    auto const limit = answer.store_refuses ? owner_refused : owner_stuck;
    auto const now = m_clock.now();
    // A store that is just back serves whoever asks first: the owner gets as
    // long as this process has been served.
    if (answer.store_stuck > limit &&
        now - m_follower.last_read() < own_read_age &&
        now - m_follower.answered_since() > limit)
    {
        claim("owner_without_store");
        return;
    }
    watch(watch_wait);
}

void ownership::lost(char const* why)
{
    m_heard = false;
    base::log(
        base::log_level::warning, "owner_lost",
        {{"owner", m_owner.instance}, {"token", m_owner.token}, {"why", why}});
    m_state = ownership_state::suspecting;
    suspect();
}

void ownership::suspect()
{
    ++*m_generation;
    m_others_hear = false;
    m_others_answer = false;
    m_open_questions = 0;
    std::vector<peer> asked;
    for (auto const& it : m_peers)
    {
        if (it.address != m_self.address && it.address != m_owner.address &&
            asked.size() < others_asked)
        {
            asked.push_back(it);
        }
    }
    if (asked.empty())
    {
        claim("owner_lost");
        return;
    }
    m_open_questions = asked.size();
    for (auto const& it : asked)
    {
        m_peer_client.watch(
            it.address, m_self, base::duration{0}, probe_timeout,
            [this, alive = m_generation,
             mine = *m_generation](peer_result<watch_answer> const& result)
            {
                if (*alive != mine)
                {
                    return;
                }
                if (result.answer)
                {
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
                if (--m_open_questions == 0)
                {
                    suspected();
                }
            });
    }
}

void ownership::suspected()
{
    if (m_others_answer && !m_others_hear)
    {
        claim("owner_lost");
        return;
    }
    if (!m_others_answer && ++m_isolated >= isolated_rounds)
    {
        claim("owner_and_others_lost");
        return;
    }
    again(suspect_pause, [this] { look_again(); });
}

/// Asks the owner once more; without an answer it is lost again at once.
void ownership::look_again()
{
    m_state = ownership_state::watching;
    m_failures = 1;
    watch(base::duration{0});
}

/// How many of the others come before this process when the owner is lost, in
/// an order that all agree on.
std::int64_t ownership::turn() const
{
    std::int64_t before = 0;
    for (auto const& it : m_peers)
    {
        if (it.address != m_owner.address && it.address < m_self.address)
        {
            ++before;
        }
    }
    if (m_peers.empty())
    {
        // Nobody has named the others yet: spread by name.
        constexpr std::size_t turns = 8;
        before = static_cast<std::int64_t>(
            std::hash<std::string>{}(m_self.instance) % turns);
    }
    return before;
}

base::duration ownership::claim_delay() const
{
    return claim_step * turn();
}

/// Only those whose turn comes first keep up with the log, or reading it would
/// cost each process the whole cell's traffic; the others read it anew if they
/// ever have to claim.
void ownership::follow_or_not()
{
    auto const wanted = turn() < standbys;
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

void ownership::claim(char const* why)
{
    if (m_leaving)
    {
        again(claim_retry,
              [this]
              {
                  m_state = ownership_state::starting;
                  m_follower.start();
              });
        return;
    }
    ++*m_generation;
    m_state = ownership_state::claiming;
    m_claim_began = m_clock.now();
    if (!m_follower.running())
    {
        m_follower.start();
    }
    base::log(base::log_level::info, "claim_begins",
              {{"why", why},
               {"former", m_owner.instance},
               {"former_token", m_owner.token}});
    again(claim_delay(), [this] { claim_now(); });
}

void ownership::claim_now()
{
    if (!m_follower.ready())
    {
        if (m_clock.now() - m_claim_began > claim_limit)
        {
            look_again();
            return;
        }
        again(claim_step, [this] { claim_now(); });
        return;
    }
    m_follower.catch_up(
        [this, alive = m_generation, mine = *m_generation](bool up_to_date)
        {
            // A claim seen meanwhile has changed the state.
            if (*alive != mine)
            {
                return;
            }
            if (!up_to_date)
            {
                again(claim_retry, [this] { look_again(); });
                return;
            }
            if (m_append.busy())
            {
                // A claim that was overtaken is still being resolved.
                again(claim_retry, [this] { claim_now(); });
                return;
            }
            auto const at = m_follower.next_offset();
            auto const claimant = owner_view{at + 1, m_self.instance,
                                             m_self.address, m_incarnation};
            m_append.begin(at, {{owner_key, text_of(claimant)}}, claim_limit,
                           [this, claimant, at](sure_end it)
                           { claimed(it, claimant, at); });
        });
}

void ownership::claimed(sure_end it,
                        owner_view const& claimant,
                        std::uint64_t at)
{
    if (it != sure_end::stored)
    {
        base::log(base::log_level::info, "claim_failed",
                  {{"token", claimant.token},
                   {"overtaken", it == sure_end::overtaken ? 1 : 0}});
        if (m_state == ownership_state::claiming)
        {
            m_state = ownership_state::starting;
            m_follower.start();
        }
        return;
    }
    if (m_leaving || m_owner.token > claimant.token)
    {
        // The next one that misses an owner claims after this token.
        m_state = ownership_state::starting;
        m_follower.start();
        return;
    }
    ++*m_generation;
    m_state = ownership_state::owning;
    auto const former = std::exchange(m_owner, claimant);
    m_isolated = 0;
    m_replica.set(owner_key, text_of(claimant));
    m_follower.stop();
    base::log(base::log_level::info, "claim_won",
              {{"token", claimant.token},
               {"records", std::uint64_t{m_replica.records().size()}}});
    m_told.began(m_replica.records(), claimant.token, at + 1);
    m_replica.clear();
    std::set<network::socket_address> told{former.address};
    for (auto const& other : m_peers)
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

void ownership::deposed(char const* why)
{
    if (m_state != ownership_state::owning)
    {
        return;
    }
    base::log(base::log_level::warning, "right_lost",
              {{"token", m_owner.token}, {"why", why}});
    ++*m_generation;
    m_state = ownership_state::starting;
    m_heard = false;
    m_told.ended();
    m_follower.start();
}

void ownership::leave()
{
    m_leaving = true;
    if (m_state != ownership_state::owning &&
        m_state != ownership_state::claiming)
    {
        return;
    }
    ++*m_generation;
    m_state = ownership_state::starting;
    m_heard = false;
    m_follower.start();
}

void ownership::again(base::duration pause, std::function<void()> what)
{
    m_timer.expires_after(pause);
    m_timer.async_wait(
        [alive = m_generation, mine = *m_generation,
         what = std::move(what)](auto ec)
        {
            if (!ec && *alive == mine)
            {
                what();
            }
        });
}

} // namespace berylhill::cell
