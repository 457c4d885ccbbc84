#include <platform/job_requests.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace berylhill;

namespace
{

workload::cell_configuration configuration()
{
    workload::cell_configuration out;
    workload::queue_spec queue;
    queue.name = "q";
    queue.host = "h.example";
    queue.path_prefix = "/q/";
    queue.timeout = std::chrono::seconds{3};
    out.queues = {queue};
    return out;
}

constexpr char const* good_path = "/q/5c0e7a21d94b36f8";

struct request_case
{
    char const* name;
    network::http_method method;
    std::string path;
    std::string body;
    /// 0: it makes a call.
    unsigned status;
};

std::ostream& operator<<(std::ostream& to, request_case const& it)
{
    return to << it.name;
}

constexpr auto post = network::http_method::post;
constexpr auto get = network::http_method::get;

std::string with_steps(std::string const& steps)
{
    return R"({"taskSpec":"t","steps":)" + steps + "}";
}

request_case const request_cases[] = {
    {"a job", post, good_path, with_steps(R"([{"count":1,"cpu":500}])"), 0},
    {"unknown fields are ignored", post, good_path,
     R"({"new":1,"taskSpec":"t","steps":[{"count":1,"newer":{}}]})", 0},
    {"its state", get, good_path, "", 0},
    {"the queue", get, "/q/", "", 0},
    {"a path that no queue has", get, "/p/5c0e7a21d94b36f8", "", 404},
    {"an id that is none", get, "/q/5c0e7a21d94b36", "", 400},
    {"an id in capitals", post, "/q/5C0E7A21D94B36F8",
     with_steps(R"([{"count":1}])"), 400},
    {"not JSON", post, good_path, "{", 400},
    {"cut", post, good_path, R"({"taskSpec":"t","steps":[{"count":1)", 400},
    {"no steps", post, good_path, with_steps("[]"), 400},
    {"no payload", post, good_path, R"({"steps":[{"count":1}]})", 400},
    {"a payload that is too long", post, good_path,
     R"({"taskSpec":")" + std::string(4'001, 'x') +
         R"(","steps":[{"count":1}]})",
     400},
    {"no tasks", post, good_path, with_steps(R"([{"cpu":1}])"), 400},
    {"a size below 0", post, good_path, with_steps(R"([{"count":1,"cpu":-5}])"),
     400},
    {"a step that waits for itself", post, good_path,
     with_steps(R"([{"count":1,"after":[0]}])"), 400},
    {"steps that wait for each other", post, good_path,
     with_steps(R"([{"count":1,"after":[1]},{"count":1,"after":[0]}])"), 400},
    {"a step that waits for none", post, good_path,
     with_steps(R"([{"count":1,"after":[7]}])"), 400},
    {"an absurd count", post, good_path,
     with_steps(R"([{"count":99999999999}])"), 400},
};

} // namespace

BOOST_AUTO_TEST_SUITE(job_requests)

BOOST_DATA_TEST_CASE(each_request_makes_a_call_or_is_refused_at_once,
                     boost::unit_test::data::make(request_cases))
{
    network::http_request const request{sample.method,
                                        sample.path,
                                        {{"Host", "h.example"}},
                                        sample.body,
                                        "application/json"};
    auto const end = platform::job_requests{}.decode(request, configuration());
    auto const* const refused = std::get_if<cell::refused_request>(&end);
    BOOST_TEST((refused == nullptr ? 0U : refused->response.status) ==
               sample.status);
}

/// Guards against one request that asks for more steps than an owner can hold
/// for many such requests.
BOOST_AUTO_TEST_CASE(a_job_of_too_many_steps_is_refused)
{
    constexpr std::size_t most = 2;
    auto const status_of = [&](std::string const& steps)
    {
        network::http_request const request{post,
                                            good_path,
                                            {{"Host", "h.example"}},
                                            with_steps(steps),
                                            "application/json"};
        auto const end =
            platform::job_requests{most}.decode(request, configuration());
        auto const* const refused = std::get_if<cell::refused_request>(&end);
        return refused == nullptr ? 0U : refused->response.status;
    };
    BOOST_TEST(status_of(R"([{"count":1},{"count":1}])") == 0U);
    BOOST_TEST(status_of(R"([{"count":1},{"count":1},{"count":1}])") == 400U);
}

/// Guards against times that overflow where they are counted in microseconds:
/// the client is refused at once, or waited for without end.
BOOST_DATA_TEST_CASE(
    a_client_waits_for_an_answer_for_a_bounded_time,
    boost::unit_test::data::make({"9000000000000000000", "9223372036854775807",
                                  "9223372036854776", "92233720368547758",
                                  "86400000000"}))
{
    network::http_request const request{
        get,
        good_path,
        {{"Host", "h.example"}, {"X-Deadline-Ms", sample}},
        {},
        {}};
    auto const end = platform::job_requests{}.decode(request, configuration());
    auto const* const call = std::get_if<cell::job_call>(&end);
    BOOST_REQUIRE(call != nullptr);
    BOOST_TEST((call->timeout >= std::chrono::seconds{3}));
    BOOST_TEST((call->timeout <= std::chrono::hours{1}));
}

BOOST_AUTO_TEST_CASE(a_job_is_decoded_whole)
{
    network::http_request const request{
        post,
        good_path,
        {{"Host", "h.example:80"}, {"X-Deadline-Ms", "1500"}},
        R"({"taskSpec":"t","steps":[{"count":4,"cpu":500,"memMb":256,"gpu":1,
            "estimateMs":900,"affinity":"r1","requirements":"a",
            "antiAffinity":2,"checkpointing":true,"gang":true,
            "sameRack":true,"allowDuplicates":true,"longRunning":true,
            "image":"im","targetMs":7,"fills":true,"mayMiss":3},
            {"count":1,"after":[0]}],
            "repeatCount":2,"firstMs":10,"intervalMs":20})",
        "application/json"};
    auto const end = platform::job_requests{}.decode(request, configuration());
    auto const* const call = std::get_if<cell::job_call>(&end);
    BOOST_REQUIRE(call != nullptr);
    BOOST_TEST((call->timeout == std::chrono::milliseconds{1'500}));
    workload::step_spec step;
    step.tasks = 4;
    step.need = {500, 256, 1};
    step.estimate_ms = 900;
    step.preferred_rack = "r1";
    step.required_label = "a";
    step.max_per_instance = 2;
    step.can_checkpoint = true;
    step.gang = true;
    step.same_rack = true;
    step.copies_allowed = true;
    step.long_running = true;
    step.image = "im";
    step.response_time_target_ms = 7;
    step.uses_spare_cpu = true;
    step.max_unavailable = 3;
    BOOST_TEST((call->spec.steps.at(0) == step));
    BOOST_TEST(
        (call->spec.steps.at(1).depends_on == std::vector<std::uint32_t>{0}));
    BOOST_TEST((call->spec.repeats == workload::repetition{2, 10, 20}));
}

BOOST_AUTO_TEST_CASE(a_refusal_says_when_to_come_back)
{
    auto const it =
        platform::job_requests{}.encode({}, {cell::job_answer_kind::refused,
                                             {},
                                             0,
                                             std::chrono::milliseconds{1'200}});
    BOOST_TEST(it.status == 503U);
    BOOST_TEST(network::field_of(it.fields, "retry-after") == "2");
}

BOOST_AUTO_TEST_SUITE_END()
