#include <telemetry/tracer.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>

using namespace berylhill;

BOOST_AUTO_TEST_SUITE(trace)

namespace
{

struct header_case
{
    char const* text;
    bool accepted;
    bool sampled;
};

std::ostream& operator<<(std::ostream& out, header_case const& it)
{
    return out << it.text;
}

std::array const s_headers{
    header_case{"00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01", true,
                true},
    header_case{"00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00", true,
                false},
    header_case{"cc-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01-more",
                true, true},
    header_case{"00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01-more",
                false, false},
    header_case{"ff-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
                false, false},
    header_case{"00-00000000000000000000000000000000-b7ad6b7169203331-01",
                false, false},
    header_case{"00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01",
                false, false},
    header_case{"00-0AF7651916CD43DD8448EB211C80319C-b7ad6b7169203331-01",
                false, false},
    header_case{"00-0af7651916cd43dd8448eb211c80319cXb7ad6b7169203331-01",
                false, false},
    header_case{"", false, false},
    header_case{"00-", false, false},
};

} // namespace

BOOST_DATA_TEST_CASE(a_header_is_read_as_the_standard_says, s_headers, it)
{
    auto const read =
        base::capture([&] { return telemetry::parse_traceparent(it.text); });
    BOOST_REQUIRE(read.has_value() == it.accepted);
    if (it.accepted)
    {
        BOOST_TEST(read.value().sampled == it.sampled);
        BOOST_TEST(read.value().span_id == "b7ad6b7169203331");
    }
}

BOOST_AUTO_TEST_CASE(a_context_comes_back_equal)
{
    auto const it = telemetry::new_trace();
    auto const back = base::capture(
        [&] {
            return telemetry::parse_traceparent(telemetry::traceparent_of(it));
        });
    BOOST_REQUIRE(back.has_value());
    BOOST_CHECK(back.value() == it);
}

BOOST_AUTO_TEST_CASE(a_hop_leaves_its_span_also_after_an_early_return)
{
    base::manual_clock clock;
    telemetry::tracer tracer{"entry-1", 10, clock};
    auto const caller = telemetry::new_trace();
    {
        auto hop = tracer.begin("admit", caller);
        hop.set("contract", "kitakaze");
        clock.advance(std::chrono::milliseconds{7});
    }
    auto const spans = tracer.store().spans_of(caller.trace_id);
    BOOST_REQUIRE(spans.size() == 1U);
    BOOST_TEST(spans[0].parent_id == caller.span_id);
    BOOST_TEST(spans[0].instance == "entry-1");
    BOOST_TEST(spans[0].duration_us == 7'000);
    auto const back = base::capture(
        [&] { return telemetry::span_from(telemetry::to_json(spans[0])); });
    BOOST_REQUIRE(back.has_value());
    BOOST_CHECK(back.value() == spans[0]);
}

BOOST_AUTO_TEST_CASE(a_moved_hop_ends_once)
{
    base::manual_clock clock;
    telemetry::tracer tracer{"entry-1", 10, clock};
    auto first = tracer.begin_root("call");
    auto second = std::move(first);
    second.end();
    second.end();
    BOOST_TEST(tracer.store().size() == 1U);
}

BOOST_AUTO_TEST_CASE(the_store_stays_bounded_and_keeps_the_newest)
{
    telemetry::span_store store{3};
    auto const trace = telemetry::new_trace();
    for (int i = 0; i < 10; ++i)
    {
        telemetry::span it;
        it.context = telemetry::child_of(trace);
        it.start_us = i;
        store.add(it);
    }
    auto const kept = store.spans_of(trace.trace_id);
    BOOST_TEST(store.size() == 3U);
    BOOST_REQUIRE(kept.size() == 3U);
    BOOST_TEST(kept.front().start_us == 7);
}

BOOST_AUTO_TEST_SUITE_END()
