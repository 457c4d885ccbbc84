#include <cell/cell_owner.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace berylhill::cell
{

namespace
{

/// Pause between appends while the store refuses them: it counts and bills
/// refused calls.
constexpr base::duration append_pause = std::chrono::milliseconds{200};

/// How long a batch collects records before it is sent. An answer to a short
/// advice request takes about as long, so most jobs are stored together with
/// their first starts.
constexpr base::duration batch_linger = std::chrono::milliseconds{30};

/// The same for a batch that contains starts or other records that somebody
/// waits for. The most urgent work must start within half a second.
constexpr base::duration urgent_linger = std::chrono::milliseconds{10};

/// How long before the client's deadline the answer is sent that the outcome of
/// its submission is unknown. An earlier answer would not help the client.
constexpr base::duration answer_margin = std::chrono::milliseconds{100};

} // namespace

void cell_owner::wait_for_batch(job_call const& of,
                                job_answer_kind once_stored,
                                job_answer_handler done)
{
    auto const until = m_parts.clock->now() + of.timeout - answer_margin;
    auto const submitted =
        of.kind == job_call_kind::submit ? of.job : workload::job_id{};
    m_waiting.add({std::move(done), submitted, until, of.job, once_stored});
    schedule_round();
}

/// Refuses the clients whose submission has not been sent while the store is
/// blocked.
void cell_owner::refuse_unsent()
{
    auto const refused = m_waiting.refuse_unsent(
        [this](workload::job_id it) { return m_decisions.withdraw(it); });
    for (auto const& it : refused)
    {
        log_refusal(it.submitted_job, store_stuck_reason);
        it.done({job_answer_kind::refused, {}, 0, default_retry_after});
    }
}

void cell_owner::log_refusal(workload::job_id it, char const* why) const
{
    m_parts.log->write(base::log_level::info, "job_refused",
                       {{"job", text_of(it)},
                        {"why", why},
                        {"stuck_s", base::seconds_of(store_stuck())},
                        {"token", m_token}});
}

/// Takes back a batch that the store has refused, so that its clients can be
/// answered.
void cell_owner::take_back_batch()
{
    if (!m_append.take_back())
    {
        return;
    }
    m_batch_taken_back = true;
    m_decisions.batch_not_stored();
    m_waiting.batch_not_stored();
    m_next_append = m_parts.clock->now() + append_pause;
}

/// Returns whether the open batch waits for more records, so that a new job is
/// stored with its first starts and several ended attempts are stored together.
bool cell_owner::lingers(base::instant now) const
{
    auto const limit =
        m_decisions.batch_urgent() ? urgent_linger : batch_linger;
    return m_open_since && now - *m_open_since < limit;
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
    if (m_decisions.batch_pending())
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
        // A client may wait for records that are already stored.
        answer_stored(m_waiting.nothing_to_store());
        return;
    }
    m_waiting.batch_sent();
    ++m_batches_taken;
    auto records = m_decisions.take_batch(now);
    if (records.empty())
    {
        stored();
        return;
    }
    m_store_blocked_since = m_store_blocked_since.value_or(now);
    m_append.begin(m_next, std::move(records),
                   [this](batch_outcome const& it) { batch_ended(it); });
}

void cell_owner::batch_ended(batch_outcome const& it)
{
    if (it.end != reliable_append_outcome::stored)
    {
        ownership_lost(it.end == reliable_append_outcome::overtaken
                           ? "log_overtaken"
                           : "log_history_lost");
        return;
    }
    m_next = it.next;
    if (it.confirmed_at)
    {
        confirmed(*it.confirmed_at);
    }
    m_decisions.batch_stored(m_parts.clock->now(), it.rejected);
    answer_rejected(it.rejected);
    stored();
}

/// Refuses the submissions of which certainly nothing is stored. The outcome of
/// all other calls is unknown.
void cell_owner::answer_rejected(
    std::vector<scheduler::rejected_job> const& jobs)
{
    std::set<workload::job_id> ids;
    for (auto const& it : jobs)
    {
        ids.insert(it.job);
    }
    for (auto const& it : m_waiting.rejected(ids))
    {
        auto const withdrawn = it.submitted_job.number != 0 &&
                               !m_decisions.account_of(it.job).has_value();
        if (withdrawn)
        {
            log_refusal(it.job, rejected_reason);
            it.done({job_answer_kind::refused, {}, 0, default_retry_after});
            continue;
        }
        it.done({job_answer_kind::outcome_unknown, {}, 0, {}});
    }
}

void cell_owner::stored()
{
    m_batches_stored = m_batches_taken;
    m_store_blocked_since.reset();
    m_batch_taken_back = false;
    answer_stored(m_waiting.batch_stored());
    send_orders();
    schedule_round();
}

void cell_owner::answer_stored(batch_waiters::list const& whom)
{
    for (auto const& it : whom)
    {
        it.done({it.once_stored, {}, 0, {}});
    }
}

/// Answers clients whose deadline is near with an unknown outcome; they retry.
void cell_owner::expire_waiting()
{
    for (auto const& it : m_waiting.expire(m_parts.clock->now()))
    {
        it.done({job_answer_kind::outcome_unknown, {}, 0, {}});
    }
}

} // namespace berylhill::cell
