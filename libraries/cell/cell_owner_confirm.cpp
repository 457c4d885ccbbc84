#include <cell/cell_owner.hpp>

#include <algorithm>
#include <utility>

namespace berylhill::cell
{

namespace
{

/// An owner that was replaced without knowing it may deny a job that its
/// successor has accepted for this long: shorter than the silence after which
/// another process claims.
constexpr base::duration max_unconfirmed = std::chrono::milliseconds{500};

/// Timeout of the read that shows whether another process has claimed.
constexpr base::duration confirm_timeout = std::chrono::milliseconds{500};

constexpr std::size_t confirm_bytes = 1'024;

/// After a pause this long another process may own the work: shorter than the
/// silence after which one claims.
constexpr base::duration noted_pause = std::chrono::milliseconds{500};

/// An owner that was not confirmed for this long reads the log's end, and again
/// this often until an answer comes: three times in `policy::ownership_lease`.
constexpr base::duration confirmation_pause = std::chrono::milliseconds{600};

/// Timeout of these reads. A slow store must confirm too.
constexpr base::duration regular_timeout = std::chrono::milliseconds{1'500};

/// A paused owner whose store is slow goes on after this time: running tasks
/// need their leases.
constexpr base::duration max_resume_wait = std::chrono::seconds{1};

} // namespace

/// Denies a job. That job may have been accepted by a successor if this process
/// has not been in contact with the store since.
void cell_owner::answer_unknown(job_call const& it, job_answer_handler done)
{
    if (surely_owns())
    {
        done({job_answer_kind::unknown_job, {}, 0, {}});
        return;
    }
    if (store_blocked())
    {
        done({job_answer_kind::refused, {}, 0, default_retry_after});
        return;
    }
    m_unconfirmed.push_back(
        {std::move(done), m_parts.clock->now() + it.timeout});
    confirm();
}

bool cell_owner::surely_owns() const
{
    return confirmed_ago() <= max_unconfirmed;
}

/// Looks whether the log still ends where this owner's records end. An append
/// in progress shows the same when it is stored.
void cell_owner::confirm()
{
    if (m_confirming || m_append.busy() || m_lost)
    {
        return;
    }
    m_confirming = true;
    read_log_end(confirm_timeout, [this, from = m_next,
                                   now = m_parts.clock->now()](auto const& it)
                 { confirm_answered(from, now, it); });
}

void cell_owner::read_log_end(base::duration timeout, read_handler done)
{
    read_request const request{m_next, base::duration{0}, confirm_bytes,
                               network::call_patience{timeout}};
    m_parts.cell->read(
        request,
        [alive = m_alive, done = std::move(done)](read_result const& it)
        {
            if (*alive)
            {
                done(it);
            }
        });
}

void cell_owner::confirm_answered(std::uint64_t from,
                                  base::instant sent_at,
                                  read_result const& it)
{
    m_confirming = false;
    if (it.outcome != read_outcome::read)
    {
        resume();
        for (auto const& caller : std::exchange(m_unconfirmed, {}))
        {
            caller.done({job_answer_kind::refused, {}, 0, default_retry_after});
        }
        return;
    }
    log_end_read(from, sent_at, it.log_end);
    if (it.log_end != from && !m_unconfirmed.empty())
    {
        confirm();
    }
}

/// A log that ends elsewhere may have been written by this owner meanwhile.
void cell_owner::log_end_read(std::uint64_t from,
                              base::instant sent_at,
                              std::uint64_t log_end)
{
    if (log_end == from)
    {
        confirmed(sent_at);
        return;
    }
    if (!m_append.busy() && m_next == from)
    {
        ownership_lost("log_overtaken");
    }
}

/// This process certainly owned the work at that time.
void cell_owner::confirmed(base::instant at)
{
    m_confirmed_at = std::max(m_confirmed_at, at);
    m_decisions.ownership_confirmed(m_confirmed_at);
    if (m_resumed_at && at >= *m_resumed_at)
    {
        resume();
    }
    else if (m_resumed_at)
    {
        confirm();
    }
    if (m_unconfirmed.empty())
    {
        return;
    }
    if (!surely_owns())
    {
        confirm();
        return;
    }
    for (auto const& it : std::exchange(m_unconfirmed, {}))
    {
        it.done({job_answer_kind::unknown_job, {}, 0, {}});
    }
}

/// What an owner may do by itself ends with its ownership lease, and one that
/// stores nothing would learn nothing of a successor. The log is also read
/// while an append is in progress, which may get no answer for long.
void cell_owner::confirm_regularly()
{
    if (auto const at = m_append.confirmed_at(); at && *at > m_confirmed_at)
    {
        confirmed(*at);
    }
    auto const now = m_parts.clock->now();
    if (m_lost || confirmed_ago() < confirmation_pause ||
        now < m_next_confirmation)
    {
        return;
    }
    m_next_confirmation = now + confirmation_pause;
    read_log_end(regular_timeout,
                 [this, from = m_next, now](read_result const& it)
                 {
                     if (it.outcome == read_outcome::read && !m_lost)
                     {
                         log_end_read(from, now, it.log_end);
                     }
                 });
}

/// Logs once that the ownership lease has ended, and that it is renewed.
void cell_owner::report_unconfirmed()
{
    auto const ended = !m_decisions.surely_owns(m_parts.clock->now());
    if (std::exchange(m_unconfirmed_reported, ended) == ended)
    {
        return;
    }
    m_parts.log->write(ended ? base::log_level::warning : base::log_level::info,
                       ended ? "ownership_unconfirmed" : "ownership_confirmed",
                       {{"token", m_token},
                        {"confirmed_s", base::seconds_of(confirmed_ago())},
                        {"store_stuck_s", base::seconds_of(store_stuck())}});
}

/// Detects that the process was paused. Nothing that another owner may not
/// expect leaves this one before the store has confirmed the ownership: leases
/// that it renews are taken to have expired by then.
void cell_owner::note_turn()
{
    auto const now = m_parts.clock->now();
    auto const last = std::exchange(m_last_turn, now);
    if (now - last > noted_pause)
    {
        m_resumed_at = now;
        m_parts.log->write(
            base::log_level::warning, "owner_resumed",
            {{"paused_s", base::seconds_of(now - last)}, {"token", m_token}});
        confirm();
        return;
    }
    if (m_resumed_at && now - *m_resumed_at > max_resume_wait)
    {
        resume();
    }
}

void cell_owner::resume()
{
    if (std::exchange(m_resumed_at, std::nullopt))
    {
        schedule_round();
    }
}

/// Refuses the callers that cannot be answered in time. While the store is
/// blocked it confirms nothing.
void cell_owner::refuse_unconfirmed()
{
    auto const now = m_parts.clock->now();
    auto const blocked = store_blocked();
    std::vector<unconfirmed_caller> late;
    std::erase_if(m_unconfirmed,
                  [&](unconfirmed_caller const& it)
                  {
                      auto const out = blocked || now >= it.deadline;
                      if (out)
                      {
                          late.push_back(it);
                      }
                      return out;
                  });
    for (auto const& it : late)
    {
        it.done({job_answer_kind::refused, {}, 0, default_retry_after});
    }
}

} // namespace berylhill::cell
