#include "line_list.hpp"

#include <cell/answer_log.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <ostream>
#include <string>

using namespace berylhill;
using namespace berylhill::cell_test;
using cell::answer_source;
using cell::job_answer_kind;

namespace
{

class manual_clock final : public base::clock
{
public:
    [[nodiscard]] base::instant now() const override
    {
        return time;
    }
    [[nodiscard]] std::int64_t wall_us() const override
    {
        return 0;
    }

    base::instant time{std::chrono::seconds{100}};
};

struct told_case
{
    char const* name;
    cell::call_outcome end;
    char const* event;
};

std::ostream& operator<<(std::ostream& to, told_case const& it)
{
    return to << it.name;
}

cell::call_outcome
outcome(job_answer_kind kind, answer_source source, std::uint32_t sends)
{
    return {{kind, {}, 0, {}}, source, {}, sends, sends > 1, 7};
}

told_case const told[] = {
    {"accepted at once",
     outcome(job_answer_kind::accepted, answer_source::owner, 1), ""},
    {"accepted after a repeat",
     outcome(job_answer_kind::accepted, answer_source::owner, 2),
     "call_answered"},
    {"no key", outcome(job_answer_kind::no_key, answer_source::owner, 1),
     "call_failed"},
    {"no queue", outcome(job_answer_kind::no_queue, answer_source::owner, 1),
     "call_failed"},
    {"forbidden", outcome(job_answer_kind::forbidden, answer_source::owner, 1),
     "call_failed"},
    {"no such job",
     outcome(job_answer_kind::unknown_job, answer_source::owner, 1),
     "call_failed"},
    {"over the cap",
     outcome(job_answer_kind::over_cap, answer_source::owner, 1),
     "call_failed"},
    {"too large", outcome(job_answer_kind::too_large, answer_source::owner, 1),
     "call_failed"},
    {"no owner", outcome(job_answer_kind::refused, answer_source::entry, 0),
     "call_failed"},
    {"outcome unknown",
     outcome(job_answer_kind::outcome_unknown, answer_source::entry, 2),
     "call_failed"},
};

struct fixture
{
    manual_clock clock;
    line_list lines;
    cell::answer_log log{clock, lines};
    cell::job_call call;

    fixture()
    {
        call.kind = cell::job_call_kind::submit;
        call.job = {0x1234};
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(answer_log, fixture)

/// Guards against a client's answer that no line of any process tells.
BOOST_DATA_TEST_CASE(each_answer_that_is_no_success_has_a_line,
                     boost::unit_test::data::make(told))
{
    log.call_ended(call, sample.end, 401, {}, {12, 13, {}});
    std::string const event{sample.event};
    BOOST_REQUIRE(lines.lines.size() == (event.empty() ? 0U : 1U));
    if (event.empty())
    {
        return;
    }
    auto const& found = lines.lines.front();
    BOOST_TEST(found.event == event);
    BOOST_TEST(found.fields.at("job") == text_of(call.job));
    BOOST_TEST(found.fields.at("status") == "401");
    BOOST_TEST(found.fields.at("sends") == std::to_string(sample.end.sends));
    BOOST_TEST(found.fields.at("by") ==
               (sample.end.source == answer_source::owner ? "owner" : "entry"));
    BOOST_TEST(found.fields.at("version") == "12");
}

/// Guards against a task that runs after its job's cancellation was
/// acknowledged, where no log tells which answer the caller had.
BOOST_DATA_TEST_CASE(each_answer_to_a_cancellation_has_a_line,
                     boost::unit_test::data::make(told))
{
    call.kind = cell::job_call_kind::cancel;
    log.call_ended(call, sample.end, 410, {}, {12, 13, {}});
    BOOST_REQUIRE(lines.lines.size() == 1U);
    auto const& found = lines.lines.front();
    BOOST_TEST(found.fields.at("job") == text_of(call.job));
    BOOST_TEST(found.fields.at("call") == "cancel");
    BOOST_TEST(found.fields.at("status") == "410");
    BOOST_TEST(found.fields.at("token") == "7");
}

BOOST_AUTO_TEST_CASE(lines_are_limited_and_those_left_out_are_counted)
{
    constexpr int denied = 5'000;
    for (int n = 0; n < denied; ++n)
    {
        log.request_denied("0000000000001234", 503, "overdue", {}, {});
    }
    auto const written = lines.count("request_denied");
    BOOST_TEST(written <= 500U);
    BOOST_TEST(written >= 100U);
    call.kind = cell::job_call_kind::submit;
    log.call_ended(call,
                   outcome(job_answer_kind::refused, answer_source::owner, 1),
                   503, {}, {});
    BOOST_TEST(lines.count("call_failed") == 1U);
    clock.time += std::chrono::seconds{1};
    log.request_denied("0000000000001234", 503, "overdue", {}, {});
    BOOST_REQUIRE(lines.count("answers_not_logged") == 1U);
    auto const said =
        std::ranges::find(lines.lines, "answers_not_logged", &line::event);
    BOOST_TEST(said->fields.at("lines") == std::to_string(denied - written));
}

BOOST_AUTO_TEST_SUITE_END()
