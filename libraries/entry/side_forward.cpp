#include <entry/side_forward.hpp>

#include <calls/problem.hpp>
#include <entry/entry_node.hpp>
#include <entry/http_problem.hpp>

#include <chrono>

namespace berylhill::entry
{

namespace
{

/// Set on a forwarded request: while a change of side is on its way, two
/// entries may each hold the other's side for the right one.
constexpr auto s_forwarded = "X-Berylhill-Forwarded";
constexpr std::int32_t s_not_found = 404;
constexpr base::duration s_limit = std::chrono::seconds{35};

void refuse(httplib::Response& to, calls::ran work, std::string reason)
{
    auto const code = work == calls::ran::not_run
                          ? calls::refusal_code::no_minion
                          : calls::refusal_code::outcome_unknown;
    answer_problem(to,
                   calls::problem_of({work, code, std::move(reason), 1}, ""));
}

platform::http_request forwarded(httplib::Request const& it)
{
    platform::http_request out;
    out.method = it.method;
    out.target = it.target;
    out.body = it.body;
    out.content_type = it.get_header_value("Content-Type");
    for (auto const* const name :
         {"X-Contract", "X-Deadline-Ms", "Idempotency-Key", "X-Request-Id",
          "traceparent"})
    {
        if (it.has_header(name))
        {
            out.headers.emplace_back(name, it.get_header_value(name));
        }
    }
    out.headers.emplace_back(s_forwarded, "1");
    return out;
}

base::outcome<platform::http_reply>
send_once(entry_node& self,
          std::string const& address,
          platform::http_request const& message)
{
    return base::capture(
        [&]
        {
            return self.http->send(address, message, s_limit,
                                   platform::connection_choice::fresh);
        });
}

void pass_on(platform::http_reply const& it, httplib::Response& to)
{
    to.status = it.status;
    for (auto const* const name : {"retry-after", "x-request-id"})
    {
        if (auto const text = it.header(name); !text.empty())
        {
            to.set_header(name, text);
        }
    }
    to.set_content(it.body, it.header("content-type"));
}

} // namespace

bool forward_to_side(entry_node& self,
                     std::string const& contract,
                     httplib::Request const& request,
                     httplib::Response& to)
{
    auto const known = self.configuration.contract(contract);
    if (!known || known->side.empty() || known->side == self.settings.side)
    {
        return false;
    }
    auto const side = self.settings.sides.find(known->side);
    if (side == self.settings.sides.end() || request.has_header(s_forwarded))
    {
        refuse(to, calls::ran::not_run,
               contract + " is served by " + known->side +
                   ", which this entry does not reach");
        return true;
    }
    auto const message = forwarded(request);
    for (auto const& address : side->second)
    {
        auto const answer = send_once(self, address, message);
        if (answer)
        {
            pass_on(answer.value(), to);
            return true;
        }
        if (answer.error().code != base::failure_code::unavailable)
        {
            refuse(to, calls::ran::unknown, answer.error().message);
            return true;
        }
    }
    refuse(to, calls::ran::not_run, "no entry of " + known->side + " answers");
    return true;
}

bool forward_to_other_sides(entry_node& self,
                            httplib::Request const& request,
                            httplib::Response& to)
{
    if (request.has_header(s_forwarded))
    {
        return false;
    }
    auto const message = forwarded(request);
    for (auto const& side : self.settings.sides)
    {
        for (auto const& address : side.second)
        {
            auto const answer = send_once(self, address, message);
            if (answer && answer.value().status != s_not_found)
            {
                pass_on(answer.value(), to);
                return true;
            }
            if (answer)
            {
                break;
            }
        }
    }
    return false;
}

} // namespace berylhill::entry
