#include <scenario/checker.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>

using namespace berylhill;

// Each promise has a history in which it holds, and ones in which a breach was
// planted. A checker that finds nothing in the latter proves nothing anywhere.
BOOST_AUTO_TEST_SUITE(checkers)

namespace
{

struct history_case
{
    char const* story;
    /// The promise that is broken; empty where all hold.
    char const* broken;
    char const* lines;
};

std::ostream& operator<<(std::ostream& out, history_case const& it)
{
    return out << it.story;
}

std::array const s_histories{
    history_case{"two tasks that fit, one after the other", "", R"(
{"at_us":1,"kind":"start","subject":"w-1","job":"j","index":0,"attempt":1,"planned":{"millicores":600},"capacity":{"millicores":1000}}
{"at_us":2,"kind":"end","subject":"w-1","job":"j","index":0,"attempt":1,"end":"succeeded"}
{"at_us":3,"kind":"start","subject":"w-1","job":"j","index":1,"attempt":1,"planned":{"millicores":600},"capacity":{"millicores":1000}}
)"},
    history_case{"two tasks that do not fit together", "never-overfull", R"(
{"at_us":1,"kind":"start","subject":"w-1","job":"j","index":0,"attempt":1,"planned":{"millicores":600},"capacity":{"millicores":1000}}
{"at_us":2,"kind":"start","subject":"w-1","job":"j","index":1,"attempt":1,"planned":{"millicores":600},"capacity":{"millicores":1000}}
)"},
    history_case{"memory counts as well", "never-overfull", R"(
{"at_us":1,"kind":"start","subject":"w-1","job":"j","index":0,"attempt":1,"planned":{"millicores":6,"memory_mb":70},"capacity":{"millicores":1000,"memory_mb":64}}
)"},
    history_case{"a ninth call on eight slots", "never-overfull", R"(
{"at_us":1,"kind":"call_refused","subject":"m-1","target":"/minions/m-1/c9","why":"full","slots":8,"busy":8}
)"},
    history_case{"a minion that refuses because it was told to", "", R"(
{"at_us":1,"kind":"call_refused","subject":"m-1","target":"/minions/m-1/c9","why":"told","slots":8,"busy":0}
)"},
    history_case{"a task on two workers", "never-in-two-places", R"(
{"at_us":1,"kind":"start","subject":"w-1","job":"j","index":0,"attempt":1}
{"at_us":2,"kind":"start","subject":"w-2","job":"j","index":0,"attempt":2}
{"at_us":3,"kind":"end","subject":"w-1","job":"j","index":0,"attempt":1,"end":"lapsed"}
)"},
    history_case{"a task moved after its lease lapsed", "", R"(
{"at_us":1,"kind":"start","subject":"w-1","job":"j","index":0,"attempt":1}
{"at_us":2,"kind":"end","subject":"w-1","job":"j","index":0,"attempt":1,"end":"lapsed"}
{"at_us":3,"kind":"start","subject":"w-2","job":"j","index":0,"attempt":2}
)"},
    history_case{"its own answer", "", R"(
{"at_us":1,"kind":"call_answered","subject":"kitakaze","call":"c1","echo":"c1"}
)"},
    history_case{"somebody else's answer", "whole-answers", R"(
{"at_us":1,"kind":"call_answered","subject":"kitakaze","call":"c1","echo":"c2"}
)"},
    history_case{"half an answer", "whole-answers", R"(
{"at_us":1,"kind":"call_answered","subject":"kitakaze","call":"c1","echo":""}
)"},
    history_case{"refused as not run, and begun later", "refusals-are-true", R"(
{"at_us":1,"kind":"call_refused_to_caller","subject":"kitakaze","call":"c1","ran":"not_run"}
{"at_us":2,"kind":"call_begun","subject":"m-1","target":"/minions/m-1/check/c1"}
)"},
    history_case{"refused as unknown, and begun", "", R"(
{"at_us":1,"kind":"call_begun","subject":"m-1","target":"/minions/m-1/check/c1"}
{"at_us":2,"kind":"call_refused_to_caller","subject":"kitakaze","call":"c1","ran":"unknown"}
)"},
    history_case{"a refused job that started", "refusals-are-true", R"(
{"at_us":1,"kind":"start","subject":"w-1","job":"j","index":0,"attempt":1,"tag":"daily-7"}
{"at_us":2,"kind":"job_refused","subject":"kitakaze","tag":"daily-7","ran":"not_run"}
)"},
    history_case{"a payment on two minions", "at-most-once", R"(
{"at_us":1,"kind":"call_sent","subject":"kitakaze","call":"c1","once":true}
{"at_us":2,"kind":"call_begun","subject":"m-1","target":"/minions/m-1/pay/c1"}
{"at_us":3,"kind":"call_begun","subject":"m-2","target":"/minions/m-2/pay/c1"}
)"},
    history_case{"an idempotent call on two minions", "", R"(
{"at_us":1,"kind":"call_sent","subject":"kitakaze","call":"c1","once":false}
{"at_us":2,"kind":"call_begun","subject":"m-1","target":"/minions/m-1/check/c1"}
{"at_us":3,"kind":"call_begun","subject":"m-2","target":"/minions/m-2/check/c1"}
)"},
    history_case{"a forecast that ran twice", "at-most-once", R"(
{"at_us":1,"kind":"job_sent","subject":"kitakaze","tag":"f-1","once":true}
{"at_us":2,"kind":"start","subject":"w-1","job":"j","index":0,"attempt":1,"tag":"f-1"}
{"at_us":3,"kind":"end","subject":"w-1","job":"j","index":0,"attempt":1,"end":"lapsed"}
{"at_us":4,"kind":"start","subject":"w-2","job":"j","index":0,"attempt":2,"tag":"f-1"}
)"},
    history_case{"two tasks of a job that runs once", "", R"(
{"at_us":1,"kind":"job_sent","subject":"kitakaze","tag":"f-1","once":true}
{"at_us":2,"kind":"start","subject":"w-1","job":"j","index":0,"attempt":1,"tag":"f-1"}
{"at_us":3,"kind":"start","subject":"w-1","job":"j","index":1,"attempt":1,"tag":"f-1"}
)"},
    history_case{"work one second after the announcement", "", R"(
{"at_us":1,"kind":"stop_announced","subject":"w-1"}
{"at_us":1000001,"kind":"start","subject":"w-1","job":"j","index":0,"attempt":1}
)"},
    history_case{"work three seconds after the announcement",
                 "leaving-gets-no-work", R"(
{"at_us":1,"kind":"stop_announced","subject":"m-1"}
{"at_us":3000001,"kind":"call_begun","subject":"m-1","target":"/minions/m-1/check/c1"}
)"},
    history_case{"work long after the list said so", "leaving-gets-no-work", R"(
{"at_us":1,"kind":"endpoint_leaving","subject":"m-1"}
{"at_us":4000001,"kind":"call_begun","subject":"m-1","target":"/minions/m-1/check/c1"}
)"},
    history_case{"a planned stop that cut a call", "stops-are-graceful", R"(
{"at_us":1,"kind":"stop_announced","subject":"entry-1"}
{"at_us":2,"kind":"call_cut","subject":"entry-1","call":"c1"}
{"at_us":3,"kind":"process_ended","subject":"entry-1","code":0}
)"},
    history_case{"a planned stop that crashed", "stops-are-graceful", R"(
{"at_us":1,"kind":"stop_announced","subject":"entry-1"}
{"at_us":3,"kind":"process_ended","subject":"entry-1","code":139}
)"},
    history_case{"a planned stop that lost a task", "stops-are-graceful", R"(
{"at_us":1,"kind":"stop_announced","subject":"w-1"}
{"at_us":2,"kind":"end","subject":"w-1","job":"j","index":0,"attempt":1,"end":"lapsed"}
)"},
    history_case{"a planned stop that took a checkpoint", "", R"(
{"at_us":1,"kind":"stop_announced","subject":"w-1"}
{"at_us":2,"kind":"end","subject":"w-1","job":"j","index":0,"attempt":1,"end":"checkpointed"}
)"},
    history_case{"a kill in the middle of a planned stop", "", R"(
{"at_us":1,"kind":"stop_announced","subject":"entry-1"}
{"at_us":2,"kind":"fault","subject":"entry-1","fault":"kill"}
{"at_us":3,"kind":"call_cut","subject":"entry-1","call":"c1"}
{"at_us":4,"kind":"process_ended","subject":"entry-1","code":137}
)"},
    history_case{"in force after seven seconds", "", R"(
{"at_us":1,"kind":"configuration_accepted","subject":"kitakaze","offset":5}
{"at_us":1000000,"kind":"configuration_seen","subject":"entry-1","offset":4,"digest":"a"}
{"at_us":7000000,"kind":"configuration_seen","subject":"entry-1","offset":5,"digest":"b"}
)"},
    history_case{"not in force after nine seconds", "configuration-holds", R"(
{"at_us":1,"kind":"configuration_accepted","subject":"kitakaze","offset":5}
{"at_us":9000000,"kind":"configuration_seen","subject":"entry-1","offset":4,"digest":"a"}
)"},
    history_case{"an entry that went back", "configuration-holds", R"(
{"at_us":1,"kind":"configuration_seen","subject":"entry-1","offset":5,"digest":"b"}
{"at_us":2,"kind":"configuration_seen","subject":"entry-1","offset":4,"digest":"a"}
)"},
    history_case{"a new process that begins anew", "", R"(
{"at_us":1,"kind":"configuration_seen","subject":"entry-1","offset":5,"digest":"b"}
{"at_us":2,"kind":"process_started","subject":"entry-1"}
{"at_us":3,"kind":"configuration_seen","subject":"entry-1","offset":-1,"digest":""}
)"},
    history_case{"two entries that read one offset differently",
                 "configuration-holds", R"(
{"at_us":1,"kind":"configuration_seen","subject":"entry-1","offset":5,"digest":"a"}
{"at_us":2,"kind":"configuration_seen","subject":"entry-2","offset":5,"digest":"b"}
)"},
};

std::string promises_broken(scenario::timeline const& seen)
{
    std::string names;
    for (auto const& it : scenario::all_checkers())
    {
        if (!it->check(seen).empty())
        {
            names += (names.empty() ? "" : " ") + it->name();
        }
    }
    return names;
}

} // namespace

BOOST_DATA_TEST_CASE(a_planted_breach_is_found_and_nothing_else,
                     s_histories,
                     it)
{
    std::string_view text{it.lines};
    text.remove_prefix(1);
    auto const seen =
        base::capture([&] { return scenario::timeline_from(text); });
    BOOST_REQUIRE(seen.has_value());
    BOOST_TEST(promises_broken(seen.value()) == it.broken);
}

BOOST_AUTO_TEST_CASE(each_promise_has_a_planted_breach)
{
    for (auto const& it : scenario::all_checkers())
    {
        auto const planted = std::any_of(s_histories.begin(), s_histories.end(),
                                         [&](history_case const& known) {
                                             return known.broken == it->name();
                                         });
        BOOST_TEST(planted, it->name());
    }
}

BOOST_AUTO_TEST_CASE(a_line_cut_short_by_a_kill_is_left_out)
{
    auto const seen = base::capture(
        []
        {
            return scenario::timeline_from(
                "{\"at_us\":1,\"kind\":\"a\",\"subject\":\"b\"}\n{\"at_u");
        });
    BOOST_REQUIRE(seen.has_value());
    BOOST_TEST(seen.value().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
