#include <cell/call_router.hpp>

#include <base/log.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace berylhill::cell
{

namespace
{

/// A client is answered this long before its timeout.
constexpr base::duration answer_margin = std::chrono::milliseconds{150};

/// A change of owner takes about a second. A call that has reached no owner by
/// then is refused with a time to retry after.
constexpr base::duration max_search_time = std::chrono::milliseconds{1'500};
/// Pause before the next attempt to reach an owner.
constexpr base::duration retry_pause = std::chrono::milliseconds{40};

/// How often the router checks that the called owner still owns the work.
constexpr base::duration owner_check_interval = std::chrono::milliseconds{50};

/// Returns whether an owner's answer to the last send of a call also tells how
/// the earlier sends ended.
bool covers_earlier_sends(job_call_kind call, job_answer_kind answer)
{
    auto const changes_nothing =
        call == job_call_kind::status || call == job_call_kind::pending;
    switch (answer)
    {
    case job_answer_kind::accepted:
    case job_answer_kind::phase:
    case job_answer_kind::pending:
    case job_answer_kind::outcome_unknown:
    // The job is not the caller's, so no send had an effect.
    case job_answer_kind::forbidden:
        return true;
    case job_answer_kind::unknown_job:
        return call != job_call_kind::submit;
    case job_answer_kind::no_queue:
    case job_answer_kind::no_key:
        return changes_nothing;
    case job_answer_kind::over_cap:
    case job_answer_kind::too_large:
    case job_answer_kind::refused:
    case job_answer_kind::not_owner:
    case job_answer_kind::interrupted:
        return false;
    }
    return false;
}

} // namespace

struct call_router::pending_call
{
    pending_call(boost::asio::io_context& loop, job_call it, handler then)
        : call{std::move(it)}
        , done{std::move(then)}
        , timer{loop}
    {
    }

    job_call call;
    handler done;
    boost::asio::steady_timer timer;
    /// Until when an owner is searched for, if none has received the call.
    base::instant search_until{};
    /// When the client must be answered.
    base::instant answer_by{};
    /// An owner may have acted on the call.
    bool maybe_done{false};
    /// Number of the current attempt; answers to earlier attempts are late.
    std::uint32_t asked{0};
    /// Token of the owner that was called last.
    std::uint64_t asked_token{0};
    /// See `call_outcome::sends`.
    std::uint32_t sends{0};
};

call_router::call_router(boost::asio::io_context& loop,
                         base::clock const& clock,
                         peer_client& peers,
                         ownership const& owner,
                         local_function local)
    : m_loop{loop}
    , m_clock{clock}
    , m_peers{peers}
    , m_owner{owner}
    , m_local{std::move(local)}
{
}

void call_router::call(job_call it, handler done)
{
    if (it.kind == job_call_kind::status)
    {
        if (auto const end = m_owner.records().end_of(it.job); end)
        {
            auto const kind = may_use(it.account, end->account)
                                  ? job_answer_kind::phase
                                  : job_answer_kind::forbidden;
            done({{kind, end->phase, 0, {}}});
            return;
        }
    }
    auto const made =
        std::make_shared<pending_call>(m_loop, std::move(it), std::move(done));
    auto const now = m_clock.now();
    made->answer_by = now + made->call.timeout - answer_margin;
    made->search_until = std::min(now + max_search_time, made->answer_by);
    ++m_under_way;
    send_to_owner(made);
}

void call_router::send_to_owner(pending_call_pointer const& it)
{
    auto const left = it->answer_by - m_clock.now();
    it->call.timeout = left;
    it->call.repeated = it->maybe_done;
    if (left.count() > 0 && call_here(it))
    {
        return;
    }
    if (left.count() <= 0 || m_owner.owner().token == 0 ||
        !m_owner.owner_serves())
    {
        retry(it);
        return;
    }
    it->asked_token = m_owner.owner().token;
    ++it->asked;
    m_peers.call(m_owner.owner().address, it->call, left,
                 [this, it, n = it->asked](peer_result<job_answer> const& end)
                 { peer_call_ended(it, n, end); });
    watch_owner(it, it->asked);
}

/// Calls the owner in this process; returns false if there is none.
bool call_router::call_here(pending_call_pointer const& it)
{
    // The answer may come before the function returns.
    ++it->sends;
    it->asked_token = m_owner.owner().token;
    if (m_local(it->call, [this, it](job_answer const& answer)
                { owner_answered(it, answer); }))
    {
        return true;
    }
    --it->sends;
    return false;
}

/// A slow store can delay an owner's answer for more than a second, while a
/// lost owner never answers. The other processes detect a lost owner before any
/// client's timeout expires.
void call_router::watch_owner(pending_call_pointer const& it,
                              std::uint32_t asked)
{
    it->timer.expires_after(owner_check_interval);
    it->timer.async_wait(
        [this, it, asked](auto ec)
        {
            if (ec || !it->done || it->asked != asked)
            {
                return;
            }
            if (m_owner.owner_serves() &&
                m_owner.owner().token == it->asked_token)
            {
                watch_owner(it, asked);
                return;
            }
            ++it->asked;
            ++it->sends;
            it->maybe_done = true;
            retry(it);
        });
}

void call_router::peer_call_ended(pending_call_pointer const& it,
                                  std::uint32_t asked,
                                  peer_result<job_answer> const& end)
{
    if (!it->done)
    {
        return;
    }
    if (it->asked != asked)
    {
        // The attempt was abandoned, but a job that its owner accepted is
        // stored.
        if (end.answer && end.answer->kind == job_answer_kind::accepted)
        {
            finish(it, *end.answer, answer_source::owner);
        }
        return;
    }
    ++it->asked;
    it->timer.cancel();
    it->sends += (end.sent_before ? 1U : 0U) +
                 (end.end == network::call_end::not_sent ? 0U : 1U);
    it->maybe_done = it->maybe_done || end.sent_before ||
                     end.end == network::call_end::unanswered;
    if (!end.answer)
    {
        retry(it);
        return;
    }
    owner_answered(it, *end.answer);
}

/// Handles the answer of an owner. If the owner has lost or released ownership,
/// the call goes to the next owner.
void call_router::owner_answered(pending_call_pointer const& it,
                                 job_answer const& answer)
{
    if (answer.kind == job_answer_kind::not_owner ||
        answer.kind == job_answer_kind::interrupted)
    {
        it->maybe_done =
            it->maybe_done || answer.kind == job_answer_kind::interrupted;
        retry(it);
        return;
    }
    if (it->maybe_done && !it->call.repeated &&
        !covers_earlier_sends(it->call.kind, answer.kind))
    {
        // The owner took the call for a first one, since the connection sent it
        // again by itself. Told otherwise, it may know the outcome.
        retry(it);
        return;
    }
    finish(it, answer, answer_source::owner);
}

void call_router::retry(pending_call_pointer const& it)
{
    auto const until = it->maybe_done ? it->answer_by : it->search_until;
    if (m_clock.now() + retry_pause < until)
    {
        it->timer.expires_after(retry_pause);
        it->timer.async_wait(
            [this, it](auto)
            {
                if (it->done)
                {
                    send_to_owner(it);
                }
            });
        return;
    }
    auto const changes = it->call.kind == job_call_kind::submit ||
                         it->call.kind == job_call_kind::cancel;
    finish(
        it,
        it->maybe_done && changes
            ? job_answer{job_answer_kind::outcome_unknown, {}, 0, {}}
            : job_answer{job_answer_kind::refused, {}, 0, default_retry_after},
        answer_source::entry);
}

void call_router::finish(pending_call_pointer const& it,
                         job_answer const& answer,
                         answer_source source)
{
    if (!it->done)
    {
        return;
    }
    auto given = answer;
    auto const owner_answer = source == answer_source::owner
                                  ? std::optional{answer.kind}
                                  : std::nullopt;
    if (it->maybe_done && !covers_earlier_sends(it->call.kind, given.kind))
    {
        // An earlier send may have been stored, or may still be carried out.
        given = {job_answer_kind::outcome_unknown, {}, 0, {}};
        source = answer_source::entry;
    }
    --m_under_way;
    auto const done = std::exchange(it->done, nullptr);
    done({given, source, owner_answer, it->sends, it->maybe_done,
          it->asked_token});
}

} // namespace berylhill::cell
