#include "world.hpp"

#include <algorithm>
#include <utility>

namespace berylhill::scheduler_test
{

namespace
{

constexpr base::duration tick = std::chrono::milliseconds{25};
/// After this time, submissions that were not sent to the store are rejected.
constexpr base::duration stuck_limit = std::chrono::milliseconds{600};
constexpr base::duration answer_timeout = std::chrono::milliseconds{400};
constexpr base::duration hold_pause = std::chrono::milliseconds{60};

} // namespace

/// A new owner takes over. The former owner does not know it yet and continues.
void world::take_over()
{
    if (!m_store_up)
    {
        return;
    }
    ++m_takeovers;
    auto made = std::make_shared<owner>();
    m_writers.push_back(0);
    made->token = m_writers.size();
    m_writers.back() = made->token;
    made->next = m_writers.size();
    made->decisions =
        std::make_unique<scheduler::scheduler>(m_rules, m_log, m_now);
    made->decisions->set_configuration(m_configuration);
    made->decisions->restore(m_newest, wall_ms(), m_now);
    m_log.write(base::log_level::debug, "world_takeover",
                {{"token", made->token}});
    if (m_owner && m_owner->alive && m_trouble && m_now >= m_island_until &&
        chance(m_island_random, m_rough.island))
    {
        ++m_islands;
        cut_off_owners();
    }
    else if (m_owner && chance(0.5))
    {
        m_owner->alive = false;
    }
    else if (m_owner && chance(m_freeze_random, m_rough.freeze))
    {
        freeze(m_owner);
    }
    if (m_owner)
    {
        made->entry_times = m_owner->entry_times;
    }
    m_owner = made;
    m_owners.push_back(made);
    if (beats())
    {
        read_entries(made);
        every_tick(made);
        return;
    }
    for (auto const& id : m_listed)
    {
        auto const& it = *m_instances.at(id);
        made->decisions->instance_listed(info_of(it), m_now, m_now);
    }
    every_tick(made);
}

/// Suspends the owner; it resumes later with outdated state.
void world::freeze(owner_pointer const& it)
{
    auto const pause = std::uniform_int_distribution<std::int64_t>{500, 6'000}(
        m_freeze_random);
    it->frozen_until = m_now + std::chrono::milliseconds{pause};
}

/// Withdraws submissions that were never sent and rejects their clients' calls
/// after the store has been unavailable for a while.
void world::refuse_unsent(owner_pointer const& by)
{
    // Only in the runs that need it: the random sequences of the other runs
    // stay the same.
    if (m_rough.twice <= 0 || !by->stuck_since ||
        m_now - *by->stuck_since < stuck_limit)
    {
        return;
    }
    auto const withdraw = [&](workload::job_id it)
    {
        return by->decisions->withdraw(it);
    };
    if (m_fault == planted::refuse_one_client)
    {
        auto const all = by->clients.take_unsent();
        for (auto const& it : all)
        {
            if (withdraw(it.submitted_job))
            {
                it.done({cell::job_answer_kind::refused, {}, 0, {}});
                continue;
            }
            by->clients.add(it);
        }
        return;
    }
    for (auto const& it : by->clients.refuse_unsent(withdraw))
    {
        it.done({cell::job_answer_kind::refused, {}, 0, {}});
    }
}

void world::tell(cell::batch_waiters::list const& whom)
{
    for (auto const& it : whom)
    {
        it.done({cell::job_answer_kind::accepted, {}, 0, {}});
    }
}

void world::every_tick(owner_pointer const& it)
{
    if (!it->alive)
    {
        return;
    }
    if (m_now < it->frozen_until)
    {
        after(tick, [this, it] { every_tick(it); });
        return;
    }
    refuse_unsent(it);
    // Clients whose outcome is unknown are told so.
    (void)it->clients.expire(m_now);
    if ((m_store_up && it == m_owner) || m_fault == planted::always_confirmed)
    {
        it->decisions->ownership_confirmed(m_now);
    }
    it->decisions->tick(wall_ms(), m_now);
    pump(it);
    after(tick, [this, it] { every_tick(it); });
}

void world::fenced(owner_pointer const& by)
{
    by->alive = false;
}

void world::pump(owner_pointer const& it)
{
    if (!it->alive || m_now < it->frozen_until)
    {
        return;
    }
    it->decisions->decide(m_now);
    for (auto const& order : it->decisions->take_orders())
    {
        std::visit([&](auto const& each) { send(it, each); }, order);
    }
    if (!it->appending && it->decisions->batch_pending())
    {
        auto records = it->decisions->take_batch(m_now);
        damage_batch(records);
        it->clients.batch_sent();
        if (records.empty())
        {
            // A planted fault may have left none.
            it->decisions->batch_stored(m_now);
            tell(it->clients.batch_stored());
        }
        else
        {
            it->appending = true;
            it->stuck_since = it->stuck_since.value_or(m_now);
            if (m_fault == planted::believe_unstored)
            {
                it->decisions->batch_stored(m_now);
            }
            it->rejected.clear();
            it->in_doubt = false;
            cut_batch(*it, records);
            append(it, records);
        }
    }
    for (auto const& [id, at] : it->decisions->instances().all())
    {
        auto& next = it->hold_after[id];
        if (m_now >= next && it->decisions->may_call(*at, m_now))
        {
            next = m_now + std::chrono::hours{1};
            hold(it, id);
        }
    }
}

void world::append(owner_pointer const& it,
                   std::vector<scheduler::record> const& records)
{
    if (!it->alive)
    {
        return;
    }
    if (m_trouble && chance(m_late_random, m_rough.late_append))
    {
        auto const pause = std::uniform_int_distribution<std::int64_t>{
            1'000, 6'000}(m_late_random);
        after(std::chrono::milliseconds{pause},
              [this, it, records, at = it->next]
              { arrive(it, at, records, false); });
        after(answer_timeout,
              [this, it, records]
              {
                  if (it->appending)
                  {
                      append(it, records);
                  }
              });
        return;
    }
    if (chance(m_trouble ? m_rough.lose : 0))
    {
        // The answer is lost, and the append may be carried out seconds later.
        auto const pause = std::chrono::milliseconds{between(0, 3'000)};
        after(chance(0.5) ? hop() : pause, [this, it, records, at = it->next]
              { arrive(it, at, records, false); });
        after(answer_timeout,
              [this, it, records]
              {
                  if (it->appending)
                  {
                      append(it, records);
                  }
              });
        return;
    }
    after(hop(), [this, it, records, at = it->next]
          { arrive(it, at, records, true); });
}

void world::arrive(owner_pointer const& it,
                   std::uint64_t at,
                   std::vector<scheduler::record> const& sent,
                   bool answered)
{
    it->in_doubt |= !answered;
    if (!m_store_up || cut_off(*it))
    {
        if (answered)
        {
            after(std::chrono::milliseconds{50},
                  [this, it, sent] { append(it, sent); });
        }
        return;
    }
    auto const fits =
        at == m_writers.size() || m_fault == planted::append_anywhere;
    // If these records are stored already, a late append finds the log further
    // on.
    auto const found = m_stored_at.find(at);
    auto const mine = found != m_stored_at.end() &&
                      found->second.writer == it->token &&
                      found->second.sent == sent;
    auto records = sent;
    auto rejected = take_rejected(records);
    if (mine)
    {
        rejected = found->second.rejected;
    }
    if (m_fault == planted::repeat_rejected && !rejected.empty())
    {
        if (answered)
        {
            after(std::chrono::milliseconds{50},
                  [this, it, sent] { append(it, sent); });
        }
        return;
    }
    if (fits && !records.empty())
    {
        m_stored_at[at] = {it->token, sent, rejected};
        m_writers.insert(m_writers.end(), records.size(), it->token);
        for (auto const& record : records)
        {
            if (record.value.empty())
            {
                m_newest.erase(record.key);
            }
            else
            {
                m_newest[record.key] = record.value;
            }
        }
    }
    if (fits && !it->rest_of_batch.empty())
    {
        batch_cut_off();
    }
    if (!answered)
    {
        return;
    }
    after(hop(),
          [this, it, n = sent.size() - rejected.size(), rejected,
           stored = fits || mine]
          {
              if (!it->alive || !it->appending)
              {
                  return;
              }
              if (!stored)
              {
                  fenced(it);
                  return;
              }
              it->next += n;
              note_rejected(*it, rejected);
              if (!it->rest_of_batch.empty())
              {
                  append(it, std::exchange(it->rest_of_batch, {}));
                  return;
              }
              it->appending = false;
              if (m_fault == planted::append_anywhere)
              {
                  it->next = m_writers.size();
              }
              batch_stored(*it);
              it->stuck_since.reset();
              tell(it->clients.batch_stored());
              // Includes jobs whose client had got no answer until now.
              for (auto const& [id, spec] : m_submitted)
              {
                  if (it->decisions->phase_of(id))
                  {
                      m_accepted.insert(id);
                  }
              }
              for (auto& [id, next] : it->hold_after)
              {
                  next = std::min(next, m_now + hold_pause);
              }
              pump(it);
          });
}

} // namespace berylhill::scheduler_test
