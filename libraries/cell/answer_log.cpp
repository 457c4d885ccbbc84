#include <cell/answer_log.hpp>

#include <utility>

namespace berylhill::cell
{

namespace
{

/// Lines a second and the largest burst, so that a process that rejects
/// everything keeps its processor time for its callers.
constexpr std::int64_t lines_per_s = 100;
constexpr std::int64_t lines_at_once = 400;

bool is_success(job_answer_kind it)
{
    return it == job_answer_kind::accepted || it == job_answer_kind::phase ||
           it == job_answer_kind::pending;
}

char const* name_of(answer_source it)
{
    return it == answer_source::owner ? "owner" : "entry";
}

} // namespace

answer_log::answer_log(base::clock const& clock, scheduler::decision_log& to)
    : m_clock{clock}
    , m_to{to}
    , m_submissions{lines_per_s, lines_at_once}
    , m_cancellations{lines_per_s, lines_at_once}
    , m_others{lines_per_s, lines_at_once}
{
}

void answer_log::call_ended(job_call const& call,
                            call_outcome const& end,
                            unsigned status,
                            base::duration took,
                            deciding_configuration const& by)
{
    auto const success = is_success(end.answer.kind);
    auto const told_by_owner =
        success && end.sends <= 1 && call.kind != job_call_kind::cancel;
    if (told_by_owner || !may_write(budget_of(call.kind)))
    {
        return;
    }
    m_to.write(base::log_level::info, success ? "call_answered" : "call_failed",
               {{"job", text_of(call.job)},
                {"call", cell::name_of(call.kind)},
                {"status", status},
                {"end", cell::name_of(end.answer.kind)},
                {"by", name_of(end.source)},
                {"owner_end",
                 end.owner_answer ? cell::name_of(*end.owner_answer) : "none"},
                {"sends", end.sends},
                {"unresolved", end.send_unresolved ? 1 : 0},
                {"token", end.token},
                {"took_s", base::seconds_of(took)},
                {"retry_after_s", base::seconds_of(end.answer.retry_after)},
                {"decided_by", call.configuration},
                {"version", by.version},
                {"newest", by.newest},
                {"age_s", base::seconds_of(by.age)}});
}

void answer_log::request_denied(std::string_view job,
                                unsigned status,
                                std::string_view why,
                                std::string_view key_digest,
                                deciding_configuration const& by)
{
    if (!may_write(m_others))
    {
        return;
    }
    m_to.write(base::log_level::info, "request_denied",
               {{"job", job},
                {"status", status},
                {"why", why},
                {"key_digest", key_digest},
                {"version", by.version},
                {"newest", by.newest},
                {"age_s", base::seconds_of(by.age)}});
}

token_bucket& answer_log::budget_of(job_call_kind it)
{
    switch (it)
    {
    case job_call_kind::submit:
        return m_submissions;
    case job_call_kind::cancel:
        return m_cancellations;
    case job_call_kind::status:
    case job_call_kind::pending:
        return m_others;
    }
    return m_others;
}

/// Returns whether a line may be written now, and reports those left out
/// before it.
bool answer_log::may_write(token_bucket& budget)
{
    if (!budget.try_take(1, m_clock.now()))
    {
        ++m_left_out;
        return false;
    }
    if (auto const n = std::exchange(m_left_out, 0); n != 0)
    {
        m_to.write(base::log_level::warning, "answers_not_logged",
                   {{"lines", n}});
    }
    return true;
}

} // namespace berylhill::cell
