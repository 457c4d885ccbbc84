#include <entry/job_api.hpp>

#include <base/log.hpp>
#include <entry/entry_node.hpp>
#include <entry/http_problem.hpp>
#include <entry/side_forward.hpp>
#include <entry/unit.hpp>
#include <entry/unit_client.hpp>
#include <model/json.hpp>
#include <settings/contract_schema.hpp>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <optional>
#include <string>

namespace berylhill::entry
{

namespace
{

using base::failure_code;

constexpr base::duration s_limit = std::chrono::seconds{8};
constexpr std::int64_t s_longest_wait_ms = 30'000;
constexpr base::duration s_one_poll = std::chrono::seconds{1};

void finish(httplib::Response& to,
            base::outcome<Json::Value> const& it,
            int status,
            std::string const& instance)
{
    if (it)
    {
        answer_json(to, it.value(), status);
        return;
    }
    answer_failure(to, it.error(), instance);
}

base::result<model::job_request> request_from(std::string const& body)
{
    base::findings found;
    auto request = settings::read_job_request("request", body, found);
    if (!found.empty())
    {
        return base::fail(failure_code::invalid, found.text());
    }
    return request;
}

void submit(entry_node& self,
            httplib::Request const& request,
            httplib::Response& to)
{
    auto const wanted =
        base::capture([&] { return request_from(request.body); });
    if (!wanted)
    {
        answer_failure(to, wanted.error(), request.path);
        return;
    }
    if (forward_to_side(self, wanted.value().contract, request, to))
    {
        return;
    }
    auto span = self.tracer.begin(
        "submit",
        telemetry::trace_from(request.get_header_value("traceparent")));
    auto const shard = shard_of_contract(wanted.value().contract,
                                         self.settings.ownership.job_shards);
    Json::Value message{Json::objectValue};
    message["unit"] = jobs_unit(shard);
    // Made here, so that the same submission may be sent again when its answer
    // was lost: the shard takes a job id once.
    message["job"] = new_job_id(shard);
    message["request"] = model::to_json(wanted.value());
    auto const answer = base::capture(
        [&]
        {
            return call_unit_until(self, jobs_unit(shard), "jobs.submit",
                                   message, s_limit, repeat::same_change);
        });
    span.set("job", message["job"].asString());
    finish(to, answer, 202, message["job"].asString());
}

/// A caller that may wait for a job, for as long as this object lives.
class waiting_caller
{
public:
    explicit waiting_caller(entry_node& self)
        : m_self{self}
        , m_number{++self.waiting_callers}
    {
    }

    ~waiting_caller()
    {
        --m_self.waiting_callers;
    }

    waiting_caller(waiting_caller const&) = delete;
    waiting_caller& operator=(waiting_caller const&) = delete;

    /// Callers who wait leave half of the threads to the others.
    [[nodiscard]] bool allowed() const
    {
        return m_number <= m_self.settings.limits.http_threads / 2;
    }

private:
    entry_node& m_self;
    std::int64_t m_number;
};

bool is_over(Json::Value const& job)
{
    auto const state = base::capture(
        [&] {
            return model::enum_from<model::job_state>(job["state"].asString());
        });
    return !state || model::is_final(state.value());
}

/// Asks the owner again and again until the job is over or `wait` has passed.
/// Each question waits for a short while only, so that a change of the owner
/// in between goes unnoticed.
base::result<Json::Value> ask_shard_until(entry_node& self,
                                          std::string const& unit,
                                          std::string const& method,
                                          Json::Value message,
                                          base::duration wait,
                                          repeat when)
{
    auto const until = self.clock.now() + wait;
    for (;;)
    {
        auto const left =
            std::clamp(until - self.clock.now(), base::duration{0}, s_one_poll);
        message["wait_us"] = Json::Int64{left.count()};
        BOOST_LEAF_AUTO(
            job, call_unit_until(self, unit, method, message, s_limit, when));
        if (left <= base::duration{0} || is_over(job) || self.stopping)
        {
            return job;
        }
    }
}

/// Runs a method of the shard that the job's id names; a job that is not known
/// here may be the other data centre's.
void ask_shard(entry_node& self,
               std::string const& method,
               httplib::Request const& request,
               base::duration wait,
               repeat when,
               httplib::Response& to)
{
    std::string const job = request.matches[1];
    auto const shard = shard_of_job(job);
    if (!shard || *shard >= self.settings.ownership.job_shards)
    {
        answer_failure(to, {failure_code::not_found, "no job " + job, 0}, job);
        return;
    }
    auto const unit = jobs_unit(*shard);
    Json::Value message{Json::objectValue};
    message["unit"] = unit;
    message["job"] = job;
    std::optional<waiting_caller> waits;
    if (wait.count() > 0)
    {
        waits.emplace(self);
    }
    if (waits && !waits->allowed())
    {
        wait = base::duration{0};
    }
    auto const answer = base::capture(
        [&]
        { return ask_shard_until(self, unit, method, message, wait, when); });
    auto const unknown_here =
        !answer && answer.error().code == failure_code::not_found;
    if (unknown_here && forward_to_other_sides(self, request, to))
    {
        return;
    }
    finish(to, answer, 200, job);
}

base::duration wait_of(httplib::Request const& it)
{
    auto const text = it.get_param_value("wait_ms");
    std::int64_t n = 0;
    std::from_chars(text.data(), text.data() + text.size(), n);
    return std::chrono::milliseconds{
        std::clamp<std::int64_t>(n, 0, s_longest_wait_ms)};
}

void list(entry_node& self,
          httplib::Request const& request,
          httplib::Response& to)
{
    Json::Value out{Json::objectValue};
    out["jobs"] = Json::Value{Json::arrayValue};
    for (std::int64_t n = 0; n < self.settings.ownership.job_shards; ++n)
    {
        Json::Value message{Json::objectValue};
        message["unit"] = jobs_unit(n);
        message["contract"] = request.get_param_value("contract");
        message["state"] = request.get_param_value("state");
        auto const answer = base::capture(
            [&]
            {
                return call_unit_until(self, jobs_unit(n), "jobs.list", message,
                                       s_limit, repeat::reading);
            });
        if (!answer)
        {
            answer_failure(to, answer.error(), request.path);
            return;
        }
        for (auto const& it : answer.value()["jobs"])
        {
            out["jobs"].append(it);
        }
    }
    answer_json(to, out, 200);
}

} // namespace

void add_job_api(http_router& router, entry_node& self)
{
    router.post("/v1/jobs",
                [&self](httplib::Request const& request, httplib::Response& to)
                { submit(self, request, to); });
    router.get("/v1/jobs",
               [&self](httplib::Request const& request, httplib::Response& to)
               { list(self, request, to); });
    router.get(R"(/v1/jobs/([^/]+))",
               [&self](httplib::Request const& request, httplib::Response& to)
               {
                   ask_shard(self, "jobs.show", request, wait_of(request),
                             repeat::reading, to);
               });
    router.post(R"(/v1/jobs/([^/]+)/cancel)",
                [&self](httplib::Request const& request, httplib::Response& to)
                {
                    ask_shard(self, "jobs.cancel", request, base::duration{0},
                              repeat::same_change, to);
                });
}

} // namespace berylhill::entry
