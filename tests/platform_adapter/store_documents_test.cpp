#include <platform/store_documents.hpp>

#include <scheduler/instance_life.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>

using namespace berylhill;

namespace
{

std::string const whole =
    R"({"service":"s","address":"10.0.0.9:8080","zone":"z","version":"v1",)"
    R"("slots":8,"state":"ready","coldLeftMs":0,)"
    R"("capacity":{"cpu":16000,"memMb":32768,"gpu":0},)"
    R"("labels":["a","r1"],"clockMs":4,"sequence":4})";

/// An entry in which one piece is replaced.
struct entry_case
{
    char const* name;
    std::string from;
    std::string to;
};

std::ostream& operator<<(std::ostream& to, entry_case const& it)
{
    return to << it.name;
}

/// A piece with one list inside the other.
std::string nested(std::size_t levels)
{
    return std::string(levels, '[') + std::string(levels, ']');
}

std::string const digits_400(400, '9');

entry_case const foreign[] = {
    {"no service", R"("service":"s",)", ""},
    {"no address", R"("address":"10.0.0.9:8080",)", ""},
    {"an address that is none", "10.0.0.9:8080", "here"},
    {"no zone", R"("zone":"z",)", ""},
    {"no version", R"("version":"v1",)", ""},
    {"no slots", R"("slots":8,)", ""},
    {"no state", R"("state":"ready",)", ""},
    {"no capacity", R"("capacity":{"cpu":16000,"memMb":32768,"gpu":0},)", ""},
    {"no labels", R"("labels":["a","r1"],)", ""},
    {"no sequence", R"(,"sequence":4)", ""},
    {"a service of another type", R"("s")", "7"},
    {"a zone of another type", R"("z")", "[]"},
    {"slots of another type", "8,", R"("8",)"},
    {"a state of another type", R"("ready")", "1"},
    {"an unknown state", R"("ready")", R"("paused")"},
    {"a capacity of another type", "16000", R"("16000")"},
    {"a capacity below nothing", "16000", "-1"},
    {"labels of another type", R"(["a","r1"])", R"("a")"},
    {"a label of another type", R"(["a","r1"])", R"(["a",1])"},
    {"cut off", R"("labels")", "\x02"},
    {"bytes that are no text", R"("s")", "\"\xff\xfe\""},
    {"no object", whole, "[1]"},
    {"nothing", whole, "\x01"},
    {"a birth of another type", R"("sequence":4)",
     R"("sequence":4,"born":"1")"},
    {"a birth that is no whole number", R"("sequence":4)",
     R"("sequence":4,"born":1.5)"},
    {"a birth before 1970", R"("sequence":4)", R"("sequence":4,"born":-1)"},
    {"1,000 levels", R"("sequence":4)",
     R"("sequence":4,"more":)" + nested(1'000)},
    {"100,000 levels", R"("sequence":4)",
     R"("sequence":4,"more":)" + nested(100'000)},
    {"100,000 levels of labels", R"(["a","r1"])", nested(100'000)},
    {"100,000 levels without an end", whole, std::string(100'000, '[')},
    {"slots of 1e300", R"("slots":8)", R"("slots":1e300)"},
    {"slots of 2^63", R"("slots":8)", R"("slots":9223372036854775808)"},
    {"slots of 2^64", R"("slots":8)", R"("slots":18446744073709551616)"},
    {"slots of -2^63", R"("slots":8)", R"("slots":-9223372036854775808)"},
    {"slots of 400 digits", R"("slots":8)", R"("slots":)" + digits_400},
    {"a sequence of 1e300", R"("sequence":4)", R"("sequence":1e300)"},
    {"a sequence of 2^63", R"("sequence":4)",
     R"("sequence":9223372036854775808)"},
    {"a sequence of 2^64", R"("sequence":4)",
     R"("sequence":18446744073709551616)"},
    {"a sequence of -2^63", R"("sequence":4)",
     R"("sequence":-9223372036854775808)"},
    {"a sequence of 400 digits", R"("sequence":4)",
     R"("sequence":)" + digits_400},
    {"a cold time of 1e300", R"("coldLeftMs":0)", R"("coldLeftMs":1e300)"},
    {"a cold time of 2^63", R"("coldLeftMs":0)",
     R"("coldLeftMs":9223372036854775808)"},
    {"a cold time of 2^64", R"("coldLeftMs":0)",
     R"("coldLeftMs":18446744073709551616)"},
    {"a cold time of -2^63", R"("coldLeftMs":0)",
     R"("coldLeftMs":-9223372036854775808)"},
    {"a cold time of 400 digits", R"("coldLeftMs":0)",
     R"("coldLeftMs":)" + digits_400},
    {"a processor capacity of 1e300", R"("cpu":16000)", R"("cpu":1e300)"},
    {"a processor capacity of 2^63", R"("cpu":16000)",
     R"("cpu":9223372036854775808)"},
    {"a processor capacity of 2^64", R"("cpu":16000)",
     R"("cpu":18446744073709551616)"},
    {"a processor capacity of -2^63", R"("cpu":16000)",
     R"("cpu":-9223372036854775808)"},
    {"a processor capacity of 400 digits", R"("cpu":16000)",
     R"("cpu":)" + digits_400},
    {"a memory capacity of 1e300", R"("memMb":32768)", R"("memMb":1e300)"},
    {"a memory capacity of 2^63", R"("memMb":32768)",
     R"("memMb":9223372036854775808)"},
    {"a memory capacity of 2^64", R"("memMb":32768)",
     R"("memMb":18446744073709551616)"},
    {"a memory capacity of -2^63", R"("memMb":32768)",
     R"("memMb":-9223372036854775808)"},
    {"a memory capacity of 400 digits", R"("memMb":32768)",
     R"("memMb":)" + digits_400},
    {"a capacity of GPUs of 1e300", R"("gpu":0)", R"("gpu":1e300)"},
    {"a capacity of GPUs of 2^63", R"("gpu":0)",
     R"("gpu":9223372036854775808)"},
    {"a capacity of GPUs of 2^64", R"("gpu":0)",
     R"("gpu":18446744073709551616)"},
    {"a capacity of GPUs of -2^63", R"("gpu":0)",
     R"("gpu":-9223372036854775808)"},
    {"a capacity of GPUs of 400 digits", R"("gpu":0)",
     R"("gpu":)" + digits_400},
    {"a birth of 1e300", R"("sequence":4)", R"("sequence":4,"born":1e300)"},
    {"a birth of 2^63", R"("sequence":4)",
     R"("sequence":4,"born":9223372036854775808)"},
    {"a birth of 2^64", R"("sequence":4)",
     R"("sequence":4,"born":18446744073709551616)"},
    {"a birth of -2^63", R"("sequence":4)",
     R"("sequence":4,"born":-9223372036854775808)"},
    {"a birth of 400 digits", R"("sequence":4)",
     R"("sequence":4,"born":)" + digits_400},
    {"a time left of 1e300", R"("sequence":4)",
     R"("sequence":4,"remainingMs":1e300)"},
    {"a time left of 2^63", R"("sequence":4)",
     R"("sequence":4,"remainingMs":9223372036854775808)"},
    {"a time left of 2^64", R"("sequence":4)",
     R"("sequence":4,"remainingMs":18446744073709551616)"},
    {"a time left of -2^63", R"("sequence":4)",
     R"("sequence":4,"remainingMs":-9223372036854775808)"},
    {"a time left of 400 digits", R"("sequence":4)",
     R"("sequence":4,"remainingMs":)" + digits_400},
    {"a birth of 2^63-1", R"("sequence":4)",
     R"("sequence":4,"born":9223372036854775807)"},
    {"a time left of 2^63-1", R"("sequence":4)",
     R"("sequence":4,"remainingMs":9223372036854775807)"},
    {"a time left of another type", R"("sequence":4)",
     R"("sequence":4,"remainingMs":"4")"},
    {"a cold time of another type", R"("coldLeftMs":0)", R"("coldLeftMs":[])"},
    {"a processor capacity of 2^63-1", R"("cpu":16000)",
     R"("cpu":9223372036854775807)"},
    {"a memory capacity of 2^63-1", R"("memMb":32768)",
     R"("memMb":9223372036854775807)"},
    {"a capacity of GPUs of 2^63-1", R"("gpu":0)",
     R"("gpu":9223372036854775807)"},
    {"a capacity of 2^62", R"(16000)", "4611686018427387904"},
    {"port 0", R"(9:8080)", R"(9:0)"},
    {"port 65536", R"(9:8080)", R"(9:65536)"},
    {"port 99999", R"(9:8080)", R"(9:99999)"},
    {"a port below 0", R"(9:8080)", R"(9:-1)"},
    {"a port with a sign", R"(9:8080)", R"(9:+80)"},
    {"a port of 400 digits", R"(9:8080)", R"(9:)" + digits_400},
    {"no port", R"(9:8080)", R"(9:)"},
    {"a port alone", R"(10.0.0.9:8080)", R"(:8080)"},
    {"an address that goes on after a zero", R"(10.0.0.9:8080)",
     R"(10.0.0.9\u0000.x:8080)"},
    {"slots of NaN", R"("slots":8)", R"("slots":NaN)"},
    {"slots of nan", R"("slots":8)", R"("slots":nan)"},
    {"slots of Infinity", R"("slots":8)", R"("slots":Infinity)"},
    {"slots of -Infinity", R"("slots":8)", R"("slots":-Infinity)"},
    {"slots of -", R"("slots":8)", R"("slots":-)"},
    {"slots of 0x10", R"("slots":8)", R"("slots":0x10)"},
    {"slots of 1e", R"("slots":8)", R"("slots":1e)"},
    {"slots of 1e999999", R"("slots":8)", R"("slots":1e999999)"},
};

entry_case const odd[] = {
    {"a birth in 2286", R"("sequence":4)",
     R"("sequence":4,"born":9999999999999)"},
    {"a sequence of 2^63-1", R"("sequence":4)",
     R"("sequence":9223372036854775807)"},
    {"a time left with a fraction", R"("sequence":4)",
     R"("sequence":4,"remainingMs":1500.5)"},
    {"a time left that is over", R"("sequence":4)",
     R"("sequence":4,"remainingMs":-3)"},
    {"a cold time with a fraction", R"("coldLeftMs":0)", R"("coldLeftMs":0.5)"},
    {"a capacity as a real number", "16000", "16000.0"},
    {"a large capacity", "32768", "1000000000"},
    {"port 1", "9:8080", "9:1"},
    {"port 65535", "9:8080", "9:65535"},
    {"no labels at all", R"(["a","r1"])", "[]"},
    {"a label of 255 bytes", R"("r1")", '"' + std::string(255, 'r') + '"'},
    {"a label of 250 kB", R"("r1")", '"' + std::string(250'000, 'r') + '"'},
    {"a zone with '@'", R"("z")", R"("z@1")"},
    {"an unknown member", R"("sequence":4)",
     R"("sequence":4,"more":)" + nested(8)},
};

std::string changed(entry_case const& it)
{
    auto out = whole;
    auto const at = out.find(it.from);
    BOOST_REQUIRE(at != std::string::npos);
    return out.replace(at, it.from.size(), it.to);
}

} // namespace

BOOST_AUTO_TEST_SUITE(store_documents)

BOOST_AUTO_TEST_CASE(an_entry_names_an_instance)
{
    platform::store_documents const reader;
    auto const read =
        base::capture([&] { return reader.instance("i", whole); });
    BOOST_REQUIRE(read);
    BOOST_TEST(read.value().id == "i");
    BOOST_TEST(read.value().address == "10.0.0.9:8080");
    BOOST_TEST(read.value().capacity.cpu_millis == 16'000);
    BOOST_TEST(!read.value().draining);
}

/// Lives under one id are told apart by their births.
BOOST_AUTO_TEST_CASE(an_entry_with_a_birth_names_a_life)
{
    platform::store_documents const reader;
    auto const value = changed(
        {"", R"("sequence":4)", R"("sequence":4,"born":1764836064123)"});
    auto const read =
        base::capture([&] { return reader.instance("i", value); });
    BOOST_REQUIRE(read);
    BOOST_TEST(read.value().id == "i@1764836064123");
    BOOST_TEST(reader.instance_id("i") == "i");
}

/// A user's task is sent to somebody else's program. Another writer's entry
/// lies among those of the instances; its state was unknown and counted as
/// ready, and what it lacked counted as nothing.
BOOST_DATA_TEST_CASE(an_entry_of_another_writer_names_none,
                     boost::unit_test::data::make(foreign))
{
    platform::store_documents const reader;
    auto const value = changed(sample);
    BOOST_TEST(!base::capture([&] { return reader.instance("i", value); }));
}

/// An instance that is well gets no work: its entry is odd, but says all that
/// is needed.
BOOST_DATA_TEST_CASE(an_odd_entry_names_an_instance,
                     boost::unit_test::data::make(odd))
{
    platform::store_documents const reader;
    auto const value = changed(sample);
    BOOST_TEST(!!base::capture([&] { return reader.instance("i", value); }));
}

/// One instance is taken for another's life: its key has the sign that sets a
/// birth apart, or is as long as the store takes it.
BOOST_AUTO_TEST_CASE(an_odd_key_names_an_instance_of_its_own)
{
    platform::store_documents const reader;
    for (auto const& key :
         {std::string{"i@1764836064123"}, std::string{"@"}, std::string{"i@"},
          std::string(255, 'i'), std::string(1'000, '@')})
    {
        auto const read =
            base::capture([&] { return reader.instance(key, whole); });
        BOOST_REQUIRE(read);
        auto const life = scheduler::parse_life(read.value().id);
        BOOST_TEST(life.id == key);
        BOOST_TEST(life.born_ms == 0);
        BOOST_TEST(reader.instance_id(key) == key);
    }
}

BOOST_AUTO_TEST_SUITE_END()
