#include <cell/store_handover.hpp>

#include <base/log.hpp>

#include <boost/asio/post.hpp>

#include <utility>

namespace berylhill::cell
{

namespace
{

/// Interval of the owner's checks. A store that gives no answer ends no call
/// for seconds, so an owner checks without an occasion too.
constexpr auto calm_pause = std::chrono::milliseconds{100};
constexpr auto trouble_pause = std::chrono::milliseconds{50};

/// Minimum interval between two reads that check the contact.
constexpr base::duration probe_pause = std::chrono::milliseconds{100};

/// Minimum interval at which all watches are answered, hundreds in a large
/// cell; those that are missed are answered at their time.
constexpr base::duration wake_pause = std::chrono::milliseconds{500};

/// Minimum interval between two log lines about outages: a store that loses
/// answers causes many short ones.
constexpr base::duration report_pause = std::chrono::seconds{1};

} // namespace

store_handover::store_handover(boost::asio::io_context& loop,
                               base::clock const& clock,
                               keyed_log& cell,
                               store_contact& contact,
                               process& whose)
    : m_loop{loop}
    , m_clock{clock}
    , m_contact{contact}
    , m_process{whose}
    , m_probe{cell}
    , m_timer{loop}
{
    // The call whose end is reported may belong to an object that must not be
    // destroyed by its own handler.
    m_contact.on_outage(
        [this, alive = m_alive]
        {
            boost::asio::post(m_loop,
                              [this, alive]
                              {
                                  if (*alive)
                                  {
                                      outage_changed();
                                  }
                              });
        });
}

store_handover::~store_handover()
{
    *m_alive = false;
    m_contact.on_outage(nullptr);
}

void store_handover::outage_changed()
{
    auto const it = m_contact.outage();
    if (!it)
    {
        return;
    }
    report_outage(*it);
    if (m_owns)
    {
        probe();
        check();
    }
}

void store_handover::report_outage(store_outage const& it)
{
    auto const now = m_clock.now();
    auto const both = it.reads && it.appends;
    auto const grown = both && !m_reported_both;
    if (now < m_next_report && !grown)
    {
        return;
    }
    m_next_report = now + report_pause;
    m_reported_both = both;
    base::log(base::log_level::warning, "store_outage",
              {{"reads", it.reads ? 1 : 0},
               {"appends", it.appends ? 1 : 0},
               {"lasted_s", base::seconds_of(now - it.since)}});
}

/// Reads one record, at most every `probe_pause`: shows whether the store
/// serves reads of this process.
void store_handover::probe()
{
    auto const now = m_clock.now();
    if (now < m_next_probe)
    {
        return;
    }
    m_next_probe = now + probe_pause;
    m_probe.find(
        [this](std::optional<found_claim> const& it)
        {
            if (it)
            {
                m_process.on_owner_found(it->owner);
            }
        });
}

/// Names a successor while the owner is in trouble, and withdraws the name
/// when it is not any more. Repeats itself while this process owns the work.
void store_handover::check()
{
    if (!m_owns)
    {
        return;
    }
    auto const now = m_clock.now();
    auto const trouble = m_process.trouble();
    auto const successor = m_succession.successor(trouble, now);
    auto const was_in_trouble =
        std::exchange(m_in_trouble, trouble.has_value());
    auto const former = std::exchange(m_successor, successor);
    auto const newly_named = successor && successor != former;
    if (newly_named)
    {
        report_successor(*trouble);
    }
    check_later();
    if (m_in_trouble && !was_in_trouble && now >= m_next_wake)
    {
        m_next_wake = now + wake_pause;
        m_process.wake_watchers();
    }
    else if (newly_named)
    {
        m_process.wake_watcher(*successor);
    }
    if (m_succession.anyone_served())
    {
        // The store may have come back for all.
        probe();
    }
}

void store_handover::check_later()
{
    m_timer.expires_after(m_in_trouble ? trouble_pause : calm_pause);
    m_timer.async_wait(
        [this, alive = m_alive](auto ec)
        {
            if (!ec && *alive)
            {
                check();
            }
        });
}

void store_handover::report_successor(store_trouble const& it)
{
    ++m_named;
    base::log(base::log_level::warning, "successor_named",
              {{"successor", m_successor->instance},
               {"turned_away", it.turned_away ? 1 : 0},
               {"lasted_s", base::seconds_of(m_clock.now() - it.since)},
               {"replaced_owners", it.replaced_owners}});
}

void store_handover::heard(peer const& from,
                           std::optional<store_evidence> const& it)
{
    m_succession.heard(from, it, m_clock.now());
}

void store_handover::claimed()
{
    m_owns = true;
    check();
}

void store_handover::ended()
{
    m_owns = false;
    m_timer.cancel();
    m_succession.ended();
    m_in_trouble = false;
    m_successor.reset();
}

bool store_handover::turned_away(peer const& it) const
{
    return m_succession.turned_away(it, m_clock.now());
}

} // namespace berylhill::cell
