#include <cell/job_call.hpp>

namespace berylhill::cell
{

char const* name_of(job_call_kind it)
{
    switch (it)
    {
    case job_call_kind::submit:
        return "submit";
    case job_call_kind::status:
        return "status";
    case job_call_kind::cancel:
        return "cancel";
    case job_call_kind::pending:
        return "pending";
    }
    return "other";
}

char const* name_of(job_answer_kind it)
{
    switch (it)
    {
    case job_answer_kind::accepted:
    case job_answer_kind::phase:
    case job_answer_kind::pending:
        return "answered";
    case job_answer_kind::unknown_job:
        return "unknown_job";
    case job_answer_kind::forbidden:
        return "forbidden";
    case job_answer_kind::over_cap:
        return "over_cap";
    case job_answer_kind::too_large:
        return "too_large";
    case job_answer_kind::no_queue:
        return "no_queue";
    case job_answer_kind::no_key:
        return "no_key";
    case job_answer_kind::refused:
        return "refused";
    case job_answer_kind::outcome_unknown:
    case job_answer_kind::not_owner:
    case job_answer_kind::interrupted:
        return "outcome_unknown";
    }
    return "other";
}

} // namespace berylhill::cell
