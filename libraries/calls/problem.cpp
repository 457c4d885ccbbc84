#include <calls/problem.hpp>

#include <model/json.hpp>

#include <algorithm>
#include <cmath>

namespace berylhill::calls
{

namespace
{

std::string_view title_of(refusal_code code) noexcept
{
    switch (code)
    {
    case refusal_code::malformed:
        return "The request is malformed";
    case refusal_code::unknown_contract:
        return "No such contract";
    case refusal_code::service_not_allowed:
        return "The contract does not cover this service";
    case refusal_code::no_such_service:
        return "No such service";
    case refusal_code::rate_limited:
        return "Above the contract's calls a second";
    case refusal_code::too_many_at_once:
        return "Above the contract's calls at once";
    case refusal_code::overloaded:
        return "The service is overloaded";
    case refusal_code::deadline_too_short:
        return "The deadline cannot be met";
    case refusal_code::no_minion:
        return "No minion takes calls now";
    case refusal_code::minion_refused:
        return "The minion did not take the call";
    case refusal_code::log_unavailable:
        return "The call could not be recorded";
    case refusal_code::key_in_progress:
        return "A call with this key is in progress";
    case refusal_code::key_conflict:
        return "The key was used for another request";
    case refusal_code::outcome_unknown:
        return "The outcome of the call is unknown";
    case refusal_code::stopping:
        return "The entry is stopping";
    }
    return "The outcome of the call is unknown";
}

} // namespace

std::int32_t status_of(refusal_code code) noexcept
{
    switch (code)
    {
    case refusal_code::malformed:
        return 400;
    case refusal_code::unknown_contract:
    case refusal_code::service_not_allowed:
        return 403;
    case refusal_code::no_such_service:
        return 404;
    case refusal_code::key_in_progress:
        return 409;
    case refusal_code::key_conflict:
        return 422;
    case refusal_code::rate_limited:
    case refusal_code::too_many_at_once:
        return 429;
    case refusal_code::minion_refused:
        return 502;
    case refusal_code::overloaded:
    case refusal_code::deadline_too_short:
    case refusal_code::no_minion:
    case refusal_code::log_unavailable:
    case refusal_code::stopping:
        return 503;
    case refusal_code::outcome_unknown:
        return 504;
    }
    return 504;
}

problem problem_of(refusal const& why, std::string_view instance)
{
    problem it;
    it.status = status_of(why.code);
    // Rounded up: a client that retries early is refused again.
    it.retry_after_s =
        static_cast<std::int64_t>(std::ceil(std::max(0.0, why.retry_after_s)));
    Json::Value body{Json::objectValue};
    body["type"] = "urn:berylhill:problem:" + std::string{name_of(why.code)};
    body["title"] = std::string{title_of(why.code)};
    body["status"] = it.status;
    body["detail"] = why.reason;
    body["instance"] = std::string{instance};
    body["ran"] = std::string{name_of(why.execution)};
    body["code"] = std::string{name_of(why.code)};
    if (why.retry_after_s > 0)
    {
        body["retry_after_s"] = why.retry_after_s;
    }
    it.body = model::text_of(body);
    return it;
}

} // namespace berylhill::calls
