#pragma once

#include <base/failure.hpp>
#include <calls/problem.hpp>
#include <network/http_message.hpp>

#include <httplib.h>

#include <json/value.h>

#include <string>

namespace berylhill::entry
{

/// Answers with a problem document (RFC 9457) and Retry-After.
void answer_problem(httplib::Response& to, calls::problem const& it);

/// The same for a failure of the jobs' or the operators' interface.
/// `instance` names the request.
void answer_failure(httplib::Response& to,
                    base::failure const& it,
                    std::string const& instance);

/// A refusal as the whole response, with a status of its own.
[[nodiscard]] network::http_response
problem_response(unsigned status, calls::refusal const& why);

void answer_json(httplib::Response& to, Json::Value const& it, int status);

} // namespace berylhill::entry
