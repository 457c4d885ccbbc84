#include <cell/cell_owner.hpp>

#include <base/log.hpp>

#include <boost/asio/post.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace berylhill::cell
{

namespace
{

/// Between two looks at what time brings: retries, lapses, waiting clients.
constexpr base::duration tick = std::chrono::milliseconds{10};

/// Until a start without an answer counts as unanswered. An instance answers
/// in milliseconds; the decision is repeated, so this only costs time.
constexpr base::duration start_timeout = std::chrono::milliseconds{400};
constexpr base::duration stop_timeout = std::chrono::milliseconds{600};

/// Added to the time that an instance may wait before it answers a hold.
constexpr base::duration hold_slack = std::chrono::milliseconds{400};

/// Between two tries to reach an instance that does not answer.
constexpr base::duration hold_retry = std::chrono::milliseconds{200};

/// When the store has taken nothing for so long, new work is refused at once:
/// it would only wait. Above what a slow store takes for one append.
constexpr base::duration stuck_limit = std::chrono::milliseconds{600};

/// Between two tries to store while the store refuses: it counts and prices
/// the calls that it refuses.
constexpr base::duration append_pause = std::chrono::milliseconds{200};

/// How long a batch may gather. An answer to a short question for advice
/// takes about as long, so most jobs come with their first starts in it.
constexpr base::duration batch_linger = std::chrono::milliseconds{20};

/// When a client that is refused should come back: about as long as a store
/// that was slow for a moment, or a change of owner, takes.
constexpr base::duration retry_after = std::chrono::milliseconds{1'000};

/// The list of instances changes each heartbeat; this bounds how often it is
/// read.
constexpr follow_pace instances_pace{
    std::chrono::milliseconds{500}, std::chrono::milliseconds{250},
    std::chrono::milliseconds{400}, std::chrono::milliseconds{150}};

/// A client is not held for more than this share of its time: whoever asks
/// again may find the store back.
constexpr int patience_share = 2;
constexpr base::duration longest_wait = std::chrono::milliseconds{2'500};

std::int64_t wall_ms(base::clock const& it)
{
    constexpr std::int64_t us_per_ms = 1'000;
    return it.wall_us() / us_per_ms;
}

} // namespace

cell_owner::cell_owner(owner_parts parts,
                       scheduler::policy rules,
                       workload::cell_configuration const& configuration,
                       std::map<std::string, std::string> const& records,
                       std::uint64_t token,
                       std::uint64_t next,
                       deposed_handler deposed)
    : m_parts{parts}
    , m_decisions{rules, *parts.log, parts.clock->now()}
    , m_token{token}
    , m_next{next}
    , m_deposed{std::move(deposed)}
    , m_append{*parts.loop, *parts.clock, *parts.cell, *parts.latency}
    , m_instances{*parts.loop, *parts.clock, *parts.instances, "instances",
                  instances_pace}
    , m_tick{*parts.loop}
{
    m_decisions.set_configuration(configuration);
    m_decisions.restore(records, wall_ms(*parts.clock), parts.clock->now());
    m_instances.on_change([this](auto const& key, auto const& value)
                          { instance_changed(key, value); });
    m_instances.on_caught_up([this] { soon(); });
    m_instances.start();
    every_tick();
}

cell_owner::~cell_owner()
{
    *m_alive = false;
    // What was never sent to the store is surely not done.
    for (auto const& it : m_waiting)
    {
        it.done({job_answer_kind::not_owner, {}, 0, {}});
    }
    for (auto const& it : m_in_flight)
    {
        it.done({job_answer_kind::interrupted, {}, 0, {}});
    }
}

void cell_owner::set_configuration(workload::cell_configuration const& it)
{
    m_decisions.set_configuration(it);
    soon();
}

void cell_owner::call(job_call const& it, job_answer_handler done)
{
    if (m_releasing || m_lost)
    {
        done({job_answer_kind::not_owner, {}, 0, {}});
        return;
    }
    switch (it.kind)
    {
    case job_call_kind::submit:
        submit(it, std::move(done));
        return;
    case job_call_kind::cancel:
        cancel(it, std::move(done));
        return;
    case job_call_kind::status:
    {
        auto const phase = m_decisions.phase_of(it.job);
        done(phase ? job_answer{job_answer_kind::phase, *phase, 0, {}}
                   : job_answer{job_answer_kind::unknown_job, {}, 0, {}});
        return;
    }
    case job_call_kind::pending:
        done({job_answer_kind::pending, {}, m_decisions.pending(it.queue), {}});
        return;
    }
}

void cell_owner::submit(job_call const& it, job_answer_handler done)
{
    auto const phase = m_decisions.phase_of(it.job);
    if (phase)
    {
        done({job_answer_kind::accepted, *phase, 0, {}});
        return;
    }
    if (store_stuck() > stuck_limit)
    {
        log_refusal(it.job);
        done({job_answer_kind::refused, {}, 0, retry_after});
        return;
    }
    auto const now = m_parts.clock->now();
    auto const taken =
        m_decisions.submit(it.spec, wall_ms(*m_parts.clock), now);
    if (taken == scheduler::submission::taken)
    {
        m_parts.log->write(base::log_level::info, "job_taken",
                           {{"job", text_of(it.job)},
                            {"queue", it.spec.queue},
                            {"steps", std::uint64_t{it.spec.steps.size()}}});
    }
    wait_for_batch(it, std::move(done));
}

void cell_owner::cancel(job_call const& it, job_answer_handler done)
{
    if (store_stuck() > stuck_limit)
    {
        log_refusal(it.job);
        done({job_answer_kind::refused, {}, 0, retry_after});
        return;
    }
    auto const end = m_decisions.cancel(it.job, m_parts.clock->now());
    if (end == scheduler::cancellation::unknown)
    {
        done({job_answer_kind::unknown_job, {}, 0, {}});
        return;
    }
    if (end == scheduler::cancellation::finished_before)
    {
        done({job_answer_kind::accepted, {}, 0, {}});
        return;
    }
    wait_for_batch(it, std::move(done));
}

void cell_owner::wait_for_batch(job_call const& of, job_answer_handler done)
{
    auto const until = m_parts.clock->now() +
                       std::min(of.patience / patience_share, longest_wait);
    auto const submitted =
        of.kind == job_call_kind::submit ? of.job : workload::job_id{};
    m_waiting.push_back({std::move(done),
                         submitted,
                         until,
                         {job_answer_kind::accepted, {}, 0, {}}});
    soon();
}

/// While the store takes nothing, those whose submission has not been sent to
/// it are told at once that it does not run.
void cell_owner::refuse_unsent()
{
    std::vector<waiter> refused;
    std::erase_if(m_waiting,
                  [&](waiter& it)
                  {
                      if (it.submitted.number == 0 ||
                          !m_decisions.withdraw(it.submitted))
                      {
                          return false;
                      }
                      refused.push_back(std::move(it));
                      return true;
                  });
    for (auto const& it : refused)
    {
        log_refusal(it.submitted);
        it.done({job_answer_kind::refused, {}, 0, retry_after});
    }
}

void cell_owner::log_refusal(workload::job_id it) const
{
    m_parts.log->write(base::log_level::info, "job_refused",
                       {{"job", text_of(it)},
                        {"why", "store_stuck"},
                        {"stuck_s", base::seconds_of(store_stuck())},
                        {"token", m_token}});
}

/// A store that refuses has surely not stored the batch: what is in it goes
/// back, so that its clients can be told.
void cell_owner::give_up_batch()
{
    if (!m_append.take_back())
    {
        return;
    }
    m_given_up = true;
    m_decisions.batch_returned();
    m_waiting.insert(m_waiting.begin(),
                     std::make_move_iterator(m_in_flight.begin()),
                     std::make_move_iterator(m_in_flight.end()));
    m_in_flight.clear();
    m_next_append = m_parts.clock->now() + append_pause;
}

/// A batch without anything that somebody waits for gathers for a moment: a
/// new job then comes with its first starts, and several ends come together.
bool cell_owner::lingers(base::instant now) const
{
    return m_open_since && now - *m_open_since < batch_linger &&
           !m_decisions.batch_urgent();
}

/// Several events that come together lead to one round of decisions and one
/// batch.
void cell_owner::soon()
{
    if (std::exchange(m_scheduled, true) || m_lost)
    {
        return;
    }
    boost::asio::post(*m_parts.loop,
                      [this, alive = m_alive]
                      {
                          if (*alive)
                          {
                              m_scheduled = false;
                              work();
                          }
                      });
}

void cell_owner::work()
{
    if (m_lost)
    {
        return;
    }
    if (!m_releasing)
    {
        m_decisions.decide(m_parts.clock->now());
    }
    carry_out(m_decisions.take_orders());
    commit();
    hold_all();
}

void cell_owner::commit()
{
    if (m_append.busy() || m_lost || m_parts.clock->now() < m_next_append)
    {
        return;
    }
    if (m_releasing)
    {
        if (m_released)
        {
            std::exchange(m_released, nullptr)();
        }
        return;
    }
    auto const now = m_parts.clock->now();
    if (m_decisions.batch_open())
    {
        m_open_since = m_open_since.value_or(now);
        if (lingers(now))
        {
            return;
        }
        m_open_since.reset();
    }
    else
    {
        // A client may wait for a batch that is already stored.
        auto const done = std::exchange(m_waiting, {});
        for (auto const& it : done)
        {
            it.done(it.answer);
        }
        return;
    }
    m_in_flight = std::exchange(m_waiting, {});
    ++m_batches_taken;
    auto records = m_decisions.take_batch(now);
    if (records.empty())
    {
        stored();
        return;
    }
    auto const n = records.size();
    m_wanting_since = m_wanting_since.value_or(now);
    m_append.begin(m_next, std::move(records), base::duration{0},
                   [this, n](sure_end end)
                   {
                       if (end != sure_end::stored)
                       {
                           deposed(end == sure_end::overtaken
                                       ? "log_overtaken"
                                       : "log_history_lost");
                           return;
                       }
                       m_next += n;
                       m_decisions.batch_stored(m_parts.clock->now());
                       stored();
                   });
}

void cell_owner::stored()
{
    m_batches_stored = m_batches_taken;
    m_wanting_since.reset();
    m_given_up = false;
    auto const done = std::exchange(m_in_flight, {});
    for (auto const& it : done)
    {
        it.done(it.answer);
    }
    carry_out(m_decisions.take_orders());
    soon();
}

void cell_owner::carry_out(std::vector<scheduler::order> const& orders)
{
    for (auto const& it : orders)
    {
        std::visit([this](auto const& each) { send(each); }, it);
    }
}

order_target cell_owner::target(std::string const& id) const
{
    auto const& all = m_decisions.instances().all();
    auto const at = all.find(id);
    if (at == all.end())
    {
        return {};
    }
    auto const address = base::capture(
        [&]
        { return network::parse_socket_address(at->second->info().address); });
    return {address ? address.value() : network::socket_address{}, id, m_token};
}

void cell_owner::send(scheduler::start_order const& it)
{
    m_parts.orders->start(
        target(it.instance), it, start_timeout,
        [this, alive = m_alive, id = it.instance,
         name = it.attempt](start_result const& result)
        {
            if (!*alive || m_lost)
            {
                return;
            }
            if (result.answer == scheduler::start_answer::fenced)
            {
                deposed("start_fenced");
                return;
            }
            m_decisions.start_answered(id, name, result.answer, result.clock_ms,
                                       m_parts.clock->now());
            soon();
        });
}

void cell_owner::send(scheduler::stop_order const& it)
{
    m_parts.orders->stop(target(it.instance), it.attempt, stop_timeout,
                         [this, alive = m_alive, id = it.instance,
                          name = it.attempt](order_end end)
                         {
                             if (!*alive || m_lost)
                             {
                                 return;
                             }
                             if (end == order_end::fenced)
                             {
                                 deposed("stop_fenced");
                                 return;
                             }
                             auto const now = m_parts.clock->now();
                             if (end == order_end::other_incarnation)
                             {
                                 m_decisions.gone(id, now);
                             }
                             m_decisions.stop_answered(
                                 id, name, end == order_end::done, now);
                             soon();
                         });
}

void cell_owner::send(scheduler::advice_order const& it)
{
    m_parts.advice->ask(it,
                        [this, alive = m_alive, step = it.step,
                         asked = it.instances](advice_result const& result)
                        {
                            if (!*alive || m_lost)
                            {
                                return;
                            }
                            auto const now = m_parts.clock->now();
                            if (result.answered)
                            {
                                m_decisions.advised(step, asked, result.allowed,
                                                    result.validity, now);
                            }
                            else
                            {
                                m_decisions.advice_failed(step, now);
                            }
                            soon();
                        });
}

void cell_owner::hold_all()
{
    auto const now = m_parts.clock->now();
    for (auto const& [id, at] : m_decisions.instances().all())
    {
        if (at->info().address.empty())
        {
            continue;
        }
        auto& loop = m_holds[id];
        if (!loop.asking && loop.after_batch <= m_batches_stored &&
            now >= loop.next)
        {
            hold(id, loop);
        }
    }
    std::erase_if(m_holds,
                  [&](auto const& it)
                  {
                      return !it.second.asking &&
                             !m_decisions.instances().all().contains(it.first);
                  });
}

void cell_owner::hold(std::string const& id, hold_loop& loop)
{
    auto const now = m_parts.clock->now();
    auto const order = m_decisions.next_hold(id, now);
    loop.asking = true;
    m_parts.orders->hold(target(id), order, order.wait + hold_slack,
                         [this, alive = m_alive, id, now](hold_result it)
                         {
                             if (*alive && !m_lost)
                             {
                                 held(id, std::move(it), now);
                             }
                         });
}

void cell_owner::held(std::string const& id,
                      hold_result it,
                      base::instant sent_at)
{
    auto const now = m_parts.clock->now();
    auto& loop = m_holds[id];
    loop.asking = false;
    loop.next = now;
    switch (it.end)
    {
    case order_end::done:
        it.report.instance = id;
        it.report.sent_at = sent_at;
        it.report.read_at = now;
        loop.after_batch = it.report.ended.empty() ? 0 : m_batches_taken + 1;
        m_decisions.reported(it.report);
        break;
    case order_end::fenced:
        deposed("hold_fenced");
        return;
    case order_end::other_incarnation:
        m_decisions.gone(id, now);
        loop.next = now + hold_retry;
        break;
    case order_end::refused:
    case order_end::unanswered:
        m_decisions.silent(id, now);
        loop.next = now + hold_retry;
        break;
    }
    soon();
}

void cell_owner::instance_changed(std::string const& key,
                                  std::string const& value)
{
    auto const now = m_parts.clock->now();
    auto const id = m_parts.reader->instance_id(key);
    if (value.empty())
    {
        m_decisions.unlist(id, now);
        return;
    }
    auto const read =
        base::capture([&] { return m_parts.reader->instance(key, value); });
    if (!read)
    {
        m_parts.log->write(base::log_level::warning, "instance_unreadable",
                           {{"key", key}, {"error", read.error().message}});
        return;
    }
    m_decisions.list(read.value(), now);
}

void cell_owner::every_tick()
{
    m_tick.expires_after(tick);
    m_tick.async_wait(
        [this, alive = m_alive](auto ec)
        {
            if (ec || !*alive || m_lost)
            {
                return;
            }
            auto const now = m_parts.clock->now();
            m_decisions.tick(wall_ms(*m_parts.clock), now);
            if (store_stuck() > stuck_limit)
            {
                give_up_batch();
                refuse_unsent();
            }
            expire(m_waiting);
            expire(m_in_flight);
            if (m_released && now > m_release_by)
            {
                std::exchange(m_released, nullptr)();
                if (!*alive)
                {
                    return;
                }
            }
            work();
            every_tick();
        });
}

/// A client whose time is nearly over hears that the outcome is not known,
/// and asks again.
void cell_owner::expire(std::vector<waiter>& among)
{
    auto const now = m_parts.clock->now();
    std::vector<waiter> over;
    std::erase_if(among,
                  [&](waiter& it)
                  {
                      if (now < it.until)
                      {
                          return false;
                      }
                      over.push_back(std::move(it));
                      return true;
                  });
    for (auto const& it : over)
    {
        it.done({job_answer_kind::outcome_unknown, {}, 0, {}});
    }
}

void cell_owner::release(base::duration limit, std::function<void()> done)
{
    m_releasing = true;
    m_release_by = m_parts.clock->now() + limit;
    m_released = std::move(done);
    soon();
}

void cell_owner::deposed(char const* why)
{
    if (std::exchange(m_lost, true))
    {
        return;
    }
    // The handler ends this object, so it runs when nothing of it does.
    boost::asio::post(*m_parts.loop,
                      [alive = m_alive, handler = m_deposed, why]
                      {
                          if (*alive)
                          {
                              handler(why);
                          }
                      });
}

} // namespace berylhill::cell
