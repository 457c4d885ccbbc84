#include <cell/call_router.hpp>

#include <base/log.hpp>

#include <algorithm>
#include <utility>

namespace berylhill::cell
{

namespace
{

/// A client is answered this much before its time is over.
constexpr base::duration answer_margin = std::chrono::milliseconds{150};

/// A change of owner takes about a second; a client is not kept longer, and
/// is told when to come back.
constexpr base::duration longest_trip = std::chrono::milliseconds{1'500};
/// Between two looks for an owner.
constexpr base::duration retry_pause = std::chrono::milliseconds{40};

/// Until an owner that was reached counts as silent.
constexpr base::duration owner_timeout = std::chrono::milliseconds{1'000};

} // namespace

struct call_router::trip
{
    trip(boost::asio::io_context& loop, job_call it, job_answer_handler then)
        : call{std::move(it)}
        , done{std::move(then)}
        , timer{loop}
    {
    }

    job_call call;
    job_answer_handler done;
    boost::asio::steady_timer timer;
    base::instant until{};
    /// An owner may have acted on it.
    bool maybe_done{false};
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

void call_router::call(job_call it, job_answer_handler done)
{
    if (it.kind == job_call_kind::status)
    {
        if (auto const end = m_owner.records().end_of(it.job); end)
        {
            auto const kind = may_use(it.account, end->account)
                                  ? job_answer_kind::phase
                                  : job_answer_kind::forbidden;
            done({kind, end->phase, 0, {}});
            return;
        }
    }
    auto const made =
        std::make_shared<trip>(m_loop, std::move(it), std::move(done));
    made->until = m_clock.now() +
                  std::min(longest_trip, made->call.patience - answer_margin);
    ++m_under_way;
    go(made);
}

void call_router::go(trip_pointer const& it)
{
    if (m_local(it->call,
                [this, it](job_answer const& answer) { given(it, answer); }))
    {
        return;
    }
    auto const left = it->until - m_clock.now();
    if (left.count() <= 0 || m_owner.owner().token == 0 ||
        !m_owner.owner_heard())
    {
        retry(it);
        return;
    }
    m_peers.call(
        m_owner.owner().address, it->call, std::min(left, owner_timeout),
        [this, it](peer_result<job_answer> const& end) { returned(it, end); });
}

void call_router::returned(trip_pointer const& it,
                           peer_result<job_answer> const& end)
{
    if (!end.answer)
    {
        it->maybe_done =
            it->maybe_done || end.end == network::call_end::unanswered;
        retry(it);
        return;
    }
    given(it, *end.answer);
}

/// An owner that loses or gives up its right sends its callers on to the next
/// one.
void call_router::given(trip_pointer const& it, job_answer const& answer)
{
    if (answer.kind == job_answer_kind::not_owner ||
        answer.kind == job_answer_kind::interrupted)
    {
        it->maybe_done =
            it->maybe_done || answer.kind == job_answer_kind::interrupted;
        retry(it);
        return;
    }
    finish(it, answer);
}

void call_router::retry(trip_pointer const& it)
{
    if (m_clock.now() + retry_pause < it->until)
    {
        it->timer.expires_after(retry_pause);
        it->timer.async_wait([this, it](auto) { go(it); });
        return;
    }
    auto const changes = it->call.kind == job_call_kind::submit ||
                         it->call.kind == job_call_kind::cancel;
    finish(it,
           it->maybe_done && changes
               ? job_answer{job_answer_kind::outcome_unknown, {}, 0, {}}
               : job_answer{job_answer_kind::refused, {}, 0, come_back_after});
}

void call_router::finish(trip_pointer const& it, job_answer const& answer)
{
    auto given = answer;
    if (given.kind == job_answer_kind::refused && it->maybe_done)
    {
        // A former owner may have stored it.
        given.kind = job_answer_kind::outcome_unknown;
    }
    --m_under_way;
    auto const done = std::exchange(it->done, nullptr);
    done(given);
}

} // namespace berylhill::cell
