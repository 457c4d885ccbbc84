#include <api/problem.hpp>

#include <model/json.hpp>

#include <array>

namespace berylhill::api
{

namespace
{

struct failure_row
{
    base::failure_code code;
    std::int32_t status;
    char const* title;
    char const* ran;
};

constexpr char const* s_not_run = "not_run";
constexpr char const* s_unknown = "unknown";

constexpr std::array s_rows{
    failure_row{base::failure_code::invalid, 400, "The request is wrong",
                s_not_run},
    failure_row{base::failure_code::not_found, 404, "No such thing", s_not_run},
    failure_row{base::failure_code::conflict, 409,
                "Somebody else's change came first", s_not_run},
    failure_row{base::failure_code::refused, 429, "A limit forbids it now",
                s_not_run},
    failure_row{base::failure_code::unavailable, 503, "Not available now",
                s_not_run},
    failure_row{base::failure_code::timed_out, 503, "The deadline passed",
                s_not_run},
    failure_row{base::failure_code::superseded, 503,
                "Another instance has taken over", s_not_run},
    failure_row{base::failure_code::outcome_unknown, 504,
                "The outcome is unknown", s_unknown},
};

failure_row const& row_of(base::failure_code code)
{
    for (auto const& it : s_rows)
    {
        if (it.code == code)
        {
            return it;
        }
    }
    return s_rows.back();
}

std::string text_at(Json::Value const& it, char const* name)
{
    return it[name].isString() ? it[name].asString() : std::string{};
}

/// What a status says where the answer itself does not say more.
base::failure_code code_of(std::int32_t status)
{
    switch (status)
    {
    case 403:
    case 429:
        return base::failure_code::refused;
    case 404:
        return base::failure_code::not_found;
    case 409:
        return base::failure_code::conflict;
    case 502:
    case 503:
    case 504:
        return base::failure_code::unavailable;
    default:
        return status < 500 ? base::failure_code::invalid
                            : base::failure_code::outcome_unknown;
    }
}

} // namespace

problem problem_of(base::failure const& it)
{
    auto const& row = row_of(it.code);
    return {row.status, row.title,
            it.message, std::string{base::name_of(it.code)},
            row.ran,    it.retry_after_s};
}

Json::Value json_of(problem const& it)
{
    Json::Value out{Json::objectValue};
    out["type"] = "urn:berylhill:problem:" + it.code;
    out["title"] = it.title;
    out["status"] = it.status;
    out["detail"] = it.detail;
    out["code"] = it.code;
    out["ran"] = it.ran;
    if (it.retry_after_s > 0)
    {
        out["retry_after_s"] = it.retry_after_s;
    }
    return out;
}

std::string body_of(problem const& it)
{
    return model::text_of(json_of(it));
}

problem problem_from(std::int32_t status, std::string_view body)
{
    auto const parsed = base::capture([&] { return model::parse_json(body); });
    if (!parsed || !parsed.value().isObject())
    {
        return {status,
                "HTTP status " + std::to_string(status),
                std::string{body},
                "",
                s_unknown,
                0};
    }
    auto const& it = parsed.value();
    problem out{status,
                text_at(it, "title"),
                text_at(it, "detail"),
                text_at(it, "code"),
                text_at(it, "ran"),
                0};
    // Only the exact word is a promise.
    if (out.ran != s_not_run)
    {
        out.ran = s_unknown;
    }
    if (it["retry_after_s"].isNumeric())
    {
        out.retry_after_s = it["retry_after_s"].asDouble();
    }
    return out;
}

base::failure failure_of(problem const& it)
{
    // An answer below 500 comes before any work; a later one may not, and only
    // says so by `ran`.
    auto const promised = it.ran == s_not_run || it.status < 500;
    auto const code =
        promised ? code_of(it.status) : base::failure_code::outcome_unknown;
    auto const message =
        it.detail.empty() ? it.title : it.title + ": " + it.detail;
    return {code, message, it.retry_after_s};
}

} // namespace berylhill::api
