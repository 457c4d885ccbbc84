#include "crowd.hpp"
#include "texts.hpp"

#include "stand_ins/ports.hpp"
#include "stand_ins/process.hpp"

#include <network/http_client.hpp>
#include <tests/support/run_until.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <memory>
#include <optional>
#include <ostream>

using namespace berylhill;
using namespace berylhill::clients_test;
using platform_test::local;

namespace
{

constexpr std::size_t bytes_per_mb = 1'048'576;
constexpr std::size_t most_memory = 96 * bytes_per_mb;
constexpr std::size_t most_descriptors = 320;

/// An entry of the product by itself; its platform gives no answer.
class entry_fixture
{
public:
    entry_fixture()
        : m_first_port{platform_test::free_ports(
              platform_test::port_range::tests, 4)}
        , m_folder{std::filesystem::temp_directory_path() /
                   ("berylhill-entry-" + std::to_string(::getpid()) + "-" +
                    std::to_string(m_first_port))}
    {
        std::filesystem::create_directories(m_folder);
        auto const settings = m_folder / "entry.json";
        std::ofstream{settings}
            << R"({"instance":"e","zone":"a","side":"s","listen":{"http":")"
            << text_of(local(http_port())) << R"(","peer":")"
            << text_of(local(peer_port())) << R"("},"platform":{"log":")"
            << text_of(local(m_first_port + 2U)) << R"(","list":")"
            << text_of(local(m_first_port + 3U))
            << R"("},"limits":{"body_bytes":65536,"http_threads":8,)"
            << R"("memory_mb":96,"connections":128,"peer_connections":128}})";
        entry = std::make_unique<platform_test::process>(
            std::vector<std::string>{BERYLHILL_BINARY, "entry", "--settings",
                                     settings.string()},
            (m_folder / "entry.log").string());
        BOOST_REQUIRE(run_until([&] { return serves(); }));
    }

    ~entry_fixture()
    {
        entry.reset();
        std::error_code ec;
        std::filesystem::remove_all(m_folder, ec);
    }

    entry_fixture(entry_fixture const&) = delete;
    entry_fixture& operator=(entry_fixture const&) = delete;

    [[nodiscard]] std::uint16_t http_port() const
    {
        return m_first_port;
    }

    [[nodiscard]] std::uint16_t peer_port() const
    {
        return static_cast<std::uint16_t>(m_first_port + 1);
    }

    template <class Done>
    bool run_until(Done done)
    {
        return test_support::run_until(loop, done, std::chrono::seconds{30});
    }

    /// Whether one ordinary request is answered.
    bool serves()
    {
        std::optional<network::call_result> end;
        m_client.call(local(http_port()),
                      {network::http_method::get, "/v1/status", {}, {}, {}},
                      std::chrono::seconds{3},
                      [&](network::call_result const& it) { end = it; });
        run_until([&] { return end.has_value(); });
        return end && end->response.status == 200;
    }

    /// The entry lives within its bounds, and serves an ordinary caller.
    void check()
    {
        BOOST_TEST(!entry->ended());
        BOOST_TEST(entry->peak_memory() / bytes_per_mb <=
                   most_memory / bytes_per_mb);
        BOOST_TEST(entry->descriptors() <= most_descriptors);
        BOOST_TEST(serves());
    }

    boost::asio::io_context loop;
    std::unique_ptr<platform_test::process> entry;

private:
    std::uint16_t m_first_port;
    std::filesystem::path m_folder;
    // Each call on a connection of its own.
    network::http_client m_client{loop, {0, 64}};
};

/// What the clients of an entry send.
struct entry_case
{
    char const* name;
    std::size_t clients;
    std::string first;
    std::string again;
    std::size_t most_bytes;
    std::chrono::milliseconds pause;
};

std::ostream& operator<<(std::ostream& to, entry_case const& it)
{
    return to << it.name;
}

std::string const chunked_head = "POST /v1/jobs HTTP/1.1\r\nHost: h\r\n"
                                 "Transfer-Encoding: chunked\r\n\r\n";
std::string const open_head = "POST /v1/jobs HTTP/1.1\r\nHost: h\r\n";
constexpr std::size_t endless = 32 * bytes_per_mb;
constexpr std::chrono::milliseconds at_once{0};
constexpr std::chrono::milliseconds slowly{500};

entry_case const http_cases[] = {
    {"trailer fields", 8, chunked_head + "1\r\nx\r\n0\r\n",
     repeated("a: b\r\n", piece), endless, at_once},
    {"a trailer line", 8, chunked_head + "1\r\nx\r\n0\r\na: ",
     repeated("b", piece), endless, at_once},
    {"a chunk extension", 8, chunked_head + "1;a=", repeated("b", piece),
     endless, at_once},
    {"header fields", 8, open_head, repeated("a: b\r\n", piece), endless,
     at_once},
    {"a header line", 8, open_head + "a: ", repeated("b", piece), endless,
     at_once},
    {"a request line", 8, "GET /v1/", repeated("b", piece), endless, at_once},
    {"a chunked body", 8, chunked_head,
     "10000\r\n" + repeated("x", piece) + "\r\n", endless, at_once},
    {"one byte now and then", 24, open_head + "a: ", "b", endless, slowly},
    {"nothing", 400, {}, {}, 0, at_once},
};

/// A frame of the longest size is announced: four bytes of length come first.
std::string const frame_head{"\x00\x7f\xff\xff", 4};

entry_case const peer_cases[] = {
    {"frames that stop before their end",
     16,
     frame_head + std::string(8 * bytes_per_mb - 1'000, 'x'),
     {},
     endless,
     at_once},
    {"nothing", 400, {}, {}, 0, at_once},
    {"one byte", 400, std::string(1, '\0'), {}, 1, at_once},
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(entry_clients, entry_fixture)

/// Guards against an entry that runs out of memory, or of threads for other
/// callers.
BOOST_DATA_TEST_CASE(callers_are_bounded,
                     boost::unit_test::data::make(http_cases))
{
    crowd all{loop,
              {sample.first, sample.again, sample.most_bytes, sample.pause}};
    all.join(http_port(), sample.clients);
    auto const slow = sample.pause.count() > 0;
    auto const settled = std::chrono::steady_clock::now() + 4 * slowly;
    BOOST_TEST(run_until(
        [&] {
            return slow ? std::chrono::steady_clock::now() > settled
                        : all.done();
        }));
    check();
}

/// The same of those who come to the listener for other entries.
BOOST_DATA_TEST_CASE(peers_are_bounded,
                     boost::unit_test::data::make(peer_cases))
{
    crowd all{loop,
              {sample.first, sample.again, sample.most_bytes, sample.pause}};
    all.join(peer_port(), sample.clients);
    BOOST_TEST(run_until([&] { return all.done(); }));
    check();
}

BOOST_AUTO_TEST_SUITE_END()
