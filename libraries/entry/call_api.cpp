#include <entry/call_api.hpp>

#include <base/hash.hpp>
#include <base/log.hpp>
#include <calls/problem.hpp>
#include <entry/call_front.hpp>
#include <entry/entry_node.hpp>
#include <entry/http_problem.hpp>
#include <entry/side_forward.hpp>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <optional>
#include <string>

namespace berylhill::entry
{

namespace
{

constexpr double s_default_deadline_s = 5;
constexpr std::size_t s_longest_header = 256;

calls::refusal malformed(std::string reason)
{
    return {calls::ran::not_run, calls::refusal_code::malformed,
            std::move(reason), 0};
}

/// Empty where there is no such header; the whole text has to be a number of
/// milliseconds above zero.
std::optional<std::int64_t> deadline_ms(std::string const& text)
{
    std::int64_t n = 0;
    auto const* const end = text.data() + text.size();
    auto const it = std::from_chars(text.data(), end, n);
    if (it.ec != std::errc{} || it.ptr != end || n <= 0)
    {
        return std::nullopt;
    }
    return n;
}

/// What is wrong with the headers; empty where nothing is.
std::string fault_of(httplib::Request const& it)
{
    if (it.get_header_value("X-Contract").empty())
    {
        return "the header X-Contract is missing";
    }
    for (auto const* const name :
         {"X-Contract", "X-Request-Id", "Idempotency-Key"})
    {
        if (it.get_header_value(name).size() > s_longest_header)
        {
            return std::string{"the header "} + name + " is too long";
        }
    }
    if (it.has_header("X-Deadline-Ms") &&
        !deadline_ms(it.get_header_value("X-Deadline-Ms")))
    {
        return "X-Deadline-Ms is not a number of milliseconds above zero";
    }
    return {};
}

incoming_call call_from(entry_node& self, httplib::Request const& it)
{
    incoming_call out;
    out.request_id = it.get_header_value("X-Request-Id");
    if (out.request_id.empty())
    {
        out.request_id = base::random_id();
    }
    out.contract = it.get_header_value("X-Contract");
    out.service = it.matches[1];
    out.method = it.method;
    // The target as it came: the path after the service, with the query.
    auto const path = std::string{"/v1/services/"} + out.service;
    out.target = it.target.substr(std::min(path.size(), it.target.size()));
    out.content_type = it.get_header_value("Content-Type");
    out.body = it.body;
    out.idempotency_key = it.get_header_value("Idempotency-Key");
    // Safe methods may be repeated by anybody (RFC 9110, 9.2.2).
    out.safety = it.method == "GET" ? model::rerun::idempotent
                                    : model::rerun::at_most_once;
    auto const contract = self.configuration.contract(out.contract);
    auto const longest =
        contract ? contract->longest_call_s : s_default_deadline_s;
    auto wanted = std::min(s_default_deadline_s, longest);
    if (auto const ms = deadline_ms(it.get_header_value("X-Deadline-Ms")))
    {
        wanted = std::min(static_cast<double>(*ms) / 1000, longest);
    }
    out.deadline = self.clock.now() + base::from_seconds(wanted);
    return out;
}

void answer(httplib::Response& to,
            incoming_call const& call,
            calls::call_outcome const& it)
{
    to.set_header("X-Request-Id", call.request_id);
    if (it.is_answer())
    {
        to.status = it.answer().status;
        to.set_content(it.answer().body, it.answer().content_type);
        return;
    }
    answer_problem(to, calls::problem_of(it.why(), call.request_id));
}

std::string text_of(calls::call_outcome const& it)
{
    return it.is_answer() ? std::to_string(it.answer().status)
                          : std::string{calls::name_of(it.why().code)};
}

void serve(entry_node& self,
           httplib::Request const& request,
           httplib::Response& to)
{
    if (auto const fault = fault_of(request); !fault.empty())
    {
        answer_problem(to, calls::problem_of(malformed(fault), ""));
        return;
    }
    auto call = call_from(self, request);
    auto span = self.tracer.begin(
        "entry " + call.service,
        telemetry::trace_from(request.get_header_value("traceparent")));
    call.traceparent = telemetry::traceparent_of(span.context());
    to.set_header("traceparent", call.traceparent);
    if (forward_to_side(self, call.contract, request, to))
    {
        span.set("forwarded", "other side");
        return;
    }
    auto const began = self.clock.now();
    auto const outcome = self.calls->serve(call);
    auto const took = self.clock.now() - began;
    answer(to, call, outcome);
    span.set("outcome", text_of(outcome));
    self.metrics
        .latency("berylhill_call_seconds", "Time to the final answer.",
                 {{"contract", call.contract},
                  {"outcome", outcome.is_answer() ? "answer" : "refusal"}})
        .record(took);
    if (!outcome.is_answer())
    {
        base::log(base::log_level::info, "call_refused",
                  {{"request", call.request_id},
                   {"contract", call.contract},
                   {"service", call.service},
                   {"code", calls::name_of(outcome.why().code)},
                   {"ran", calls::name_of(outcome.why().execution)},
                   {"cause", outcome.why().reason}});
    }
}

} // namespace

void add_call_api(http_router& router, entry_node& self)
{
    auto const handler =
        [&self](httplib::Request const& request, httplib::Response& to)
    {
        serve(self, request, to);
    };
    constexpr auto pattern = R"(/v1/services/([^/?]+)(/.*)?)";
    router.get(pattern, handler);
    router.post(pattern, handler);
}

} // namespace berylhill::entry
