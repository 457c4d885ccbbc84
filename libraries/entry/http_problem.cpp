#include <entry/http_problem.hpp>

#include <model/json.hpp>

#include <cmath>

namespace berylhill::entry
{

namespace
{

using base::failure_code;

int status_of(failure_code it)
{
    switch (it)
    {
    case failure_code::invalid:
        return 400;
    case failure_code::not_found:
        return 404;
    case failure_code::conflict:
        return 409;
    case failure_code::refused:
        return 429;
    case failure_code::unavailable:
    case failure_code::log_unavailable:
    case failure_code::superseded:
        return 503;
    case failure_code::timed_out:
    case failure_code::outcome_unknown:
        return 504;
    }
    return 500;
}

char const* ran(failure_code it)
{
    return it == failure_code::outcome_unknown ? "unknown" : "not_run";
}

} // namespace

void answer_problem(httplib::Response& to, calls::problem const& it)
{
    to.status = it.status;
    if (it.retry_after_s > 0)
    {
        to.set_header("Retry-After", std::to_string(it.retry_after_s));
    }
    to.set_content(it.body, std::string{calls::problem::s_content_type});
}

void answer_failure(httplib::Response& to,
                    base::failure const& it,
                    std::string const& instance)
{
    calls::problem out;
    out.status = status_of(it.code);
    out.retry_after_s = static_cast<std::int64_t>(std::ceil(it.retry_after_s));
    Json::Value body{Json::objectValue};
    body["type"] = "about:blank";
    body["title"] = std::string{base::name_of(it.code)};
    body["status"] = out.status;
    body["detail"] = it.message;
    body["instance"] = instance;
    body["code"] = std::string{base::name_of(it.code)};
    body["ran"] = ran(it.code);
    body["retry_after_s"] = it.retry_after_s;
    out.body = model::text_of(body);
    answer_problem(to, out);
}

network::http_response problem_response(unsigned status,
                                        calls::refusal const& why)
{
    auto const problem = calls::problem_of(why, "");
    network::http_response out;
    out.status = status;
    out.content_type = calls::problem::s_content_type;
    out.body = problem.body;
    auto const body =
        base::capture([&] { return model::parse_json(problem.body); });
    if (body)
    {
        auto with_status = body.value();
        with_status["status"] = status;
        out.body = model::text_of(with_status);
    }
    if (problem.retry_after_s > 0)
    {
        out.fields.push_back(
            {"Retry-After", std::to_string(problem.retry_after_s)});
    }
    return out;
}

void answer_json(httplib::Response& to, Json::Value const& it, int status)
{
    to.status = status;
    to.set_content(model::text_of(it), "application/json");
}

} // namespace berylhill::entry
