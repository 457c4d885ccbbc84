#include "bounded_cell.hpp"
#include "crowd.hpp"
#include "texts.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

#include <ostream>

using namespace berylhill;
using namespace berylhill::clients_test;

namespace
{

constexpr std::size_t clients_per_listener = 2;
constexpr std::size_t listeners = 4;
constexpr std::size_t most_bytes = std::size_t{32} * 1024 * 1024;

/// A part of a request that does not end.
struct endless_part
{
    char const* name;
    std::string first;
    std::string again;
};

std::ostream& operator<<(std::ostream& to, endless_part const& it)
{
    return to << it.name;
}

std::string const chunked_head =
    "POST /q/0000000000000001 HTTP/1.1\r\nHost: h\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";
std::string const open_head =
    "POST /q/0000000000000001 HTTP/1.1\r\nHost: h\r\n";

endless_part const parts[] = {
    {"trailer fields", chunked_head + "1\r\nx\r\n0\r\n",
     repeated("a: b\r\n", piece)},
    {"a trailer line",
     chunked_head + "1\r\nx\r\n0\r\na: ", repeated("b", piece)},
    {"a chunk extension", chunked_head + "1;a=", repeated("b", piece)},
    {"header fields", open_head, repeated("a: b\r\n", piece)},
    {"empty header fields", open_head, repeated("a:\r\n", piece)},
    {"a header line", open_head + "a: ", repeated("b", piece)},
    {"a request line", "GET /q/", repeated("b", piece)},
    {"a chunked body", chunked_head,
     "10000\r\n" + std::string(piece, 'x') + "\r\n"},
    {"small chunks", chunked_head,
     repeated("1;aaaaaaaaaaaaaaaa\r\nx\r\n", piece)},
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(endless_parts, bounded_cell)

/// Guards against a process that runs out of memory: a part of a request comes
/// without end, at any of its listeners.
BOOST_DATA_TEST_CASE(no_part_of_a_request_is_held_without_bound,
                     boost::unit_test::data::make(parts))
{
    crowd all{loop, {sample.first, sample.again, most_bytes}};
    for (std::size_t n = 0; n < listeners; ++n)
    {
        all.join(static_cast<std::uint16_t>(callers_port(0) + n),
                 clients_per_listener);
    }
    BOOST_TEST(run_until([&] { return all.done(); }));
    check(0);
}

BOOST_AUTO_TEST_SUITE_END()
