#include <cell/peer_messages.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>

using namespace berylhill;

namespace
{

struct list_end_case
{
    char const* story;
    char const* text;
    cell::log_end_age expected;
};

std::ostream& operator<<(std::ostream& to, list_end_case const& it)
{
    return to << it.story;
}

list_end_case const list_ends[] = {
    {"an older release", R"({"owns":true})", {}},
    {"nothing read yet", R"({"owns":true,"list_end":[0,0]})", {}},
    {"an end and its age",
     R"({"owns":true,"list_end":[886,250000]})",
     {886, std::chrono::milliseconds{250}}},
};

} // namespace

BOOST_AUTO_TEST_SUITE(peer_messages)

BOOST_DATA_TEST_CASE(a_watch_tells_the_end_of_the_instances_log,
                     boost::unit_test::data::make(list_ends))
{
    auto const read =
        base::capture([&] { return cell::parse_watch(sample.text); });
    BOOST_REQUIRE(bool{read});
    BOOST_TEST((read.value().list_end == sample.expected));
    auto const again = base::capture(
        [&] { return cell::parse_watch(cell::text_of(read.value())); });
    BOOST_REQUIRE(bool{again});
    BOOST_TEST((again.value() == read.value()));
}

/// A release that does not know repeated calls sends each as a first one.
BOOST_AUTO_TEST_CASE(a_call_says_whether_it_is_repeated)
{
    cell::job_call sent;
    sent.kind = cell::job_call_kind::cancel;
    sent.job = {7};
    sent.repeated = true;
    auto const read = base::capture(
        [&] { return cell::parse_job_call(cell::text_of(sent)); });
    BOOST_REQUIRE(bool{read});
    BOOST_TEST((read.value() == sent));
    auto const older = base::capture(
        []
        {
            return cell::parse_job_call(
                R"({"kind":2,"job":"0000000000000007","patience":5})");
        });
    BOOST_REQUIRE(bool{older});
    BOOST_TEST(!older.value().repeated);
}

/// Of a release that does not say so, an owner has read its records, and none
/// before it was overloaded.
BOOST_AUTO_TEST_CASE(a_watch_tells_how_far_a_takeover_is)
{
    cell::watch_answer told;
    told.owns = true;
    told.restoring = true;
    told.taking_over = true;
    told.overloaded_owners = 3;
    auto const read =
        base::capture([&] { return cell::parse_watch(cell::text_of(told)); });
    BOOST_REQUIRE(bool{read});
    BOOST_TEST((read.value() == told));
    auto const older =
        base::capture([] { return cell::parse_watch(R"({"owns":true})"); });
    BOOST_REQUIRE(bool{older});
    BOOST_TEST(!older.value().restoring);
    BOOST_TEST(!older.value().taking_over);
    BOOST_TEST(older.value().overloaded_owners == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
