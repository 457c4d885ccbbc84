#pragma once

#include <base/result.hpp>

#include <json/value.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace berylhill::api
{

/// An error answer: an RFC 9457 problem document. A value.
struct problem
{
    std::int32_t status{500};
    std::string title;
    std::string detail;
    /// Stable, for programs: the name of a failure or a refusal.
    std::string code;
    /// `not_run`, which is a promise, or `unknown`.
    std::string ran{"unknown"};
    /// Seconds until asking again makes sense; 0 where it never does.
    double retry_after_s{0};

    friend bool operator==(problem const&, problem const&) = default;
};

/// How the operators' and jobs' interface shows a failure. Calls have more
/// kinds of refusals, see calls/problem.hpp. Thread-safe.
[[nodiscard]] problem problem_of(base::failure const& it);

/// The members of `body_of`, for a document that adds some.
[[nodiscard]] Json::Value json_of(problem const& it);

/// One line of JSON with the members type, title, status, detail, code, ran,
/// and retry_after_s where it is not 0.
[[nodiscard]] std::string body_of(problem const& it);

/// Reads the body of an answer with this HTTP status. Whatever is not a problem
/// document becomes one that promises nothing (`ran` is `unknown`).
/// Thread-safe.
[[nodiscard]] problem problem_from(std::int32_t status, std::string_view body);

/// What the problem means for the one who asked. Thread-safe.
[[nodiscard]] base::failure failure_of(problem const& it);

} // namespace berylhill::api
