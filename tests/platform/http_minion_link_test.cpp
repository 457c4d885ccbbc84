#include <platform/http_minion_link.hpp>
#include <tests/platform/scripted_server.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>

using namespace berylhill;
using namespace std::chrono_literals;
using base::failure_code;
using tests::scripted_server;

BOOST_AUTO_TEST_SUITE(http_minion_link)

namespace
{

struct answer_case
{
    char const* status;
    char const* headers;
    char const* means;
};

std::ostream& operator<<(std::ostream& out, answer_case const& it)
{
    return out << it.status << " " << it.means;
}

std::array const s_answers{
    answer_case{"200 OK", "X-Request-Id: r1\r\n", "answer"},
    answer_case{"500 Error", "X-Request-Id: r1\r\n", "answer"},
    answer_case{"503 No", "X-Request-Id: r1\r\n", "answer"},
    answer_case{"503 No", "X-Request-Id: r1\r\nX-Ran: no\r\n", "unavailable"},
    answer_case{"503 No", "X-Request-Id: r0\r\nX-Ran: no\r\n",
                "outcome_unknown"},
    answer_case{"503 No", "X-Ran: no\r\n", "outcome_unknown"},
    answer_case{"200 OK", "X-Request-Id: r0\r\n", "outcome_unknown"},
    answer_case{"200 OK", "", "outcome_unknown"},
};

} // namespace

// A race officer gets the times of another race: two answers came crossed.
// Only the echo of the request's id tells; what does not carry it is no answer
// to this call, and its "not run" is not about this call either.
BOOST_DATA_TEST_CASE(only_its_own_answer_reaches_a_call, s_answers, it)
{
    scripted_server* self = nullptr;
    scripted_server server{
        [&](int socket, int)
        {
            self->read_request(socket);
            scripted_server::write(
                socket, "HTTP/1.1 " + std::string{it.status} + "\r\n" +
                            it.headers + "Content-Length: 2\r\n\r\nok");
        }};
    self = &server;
    model::endpoint minion;
    minion.id = "m-1";
    minion.address = server.address();
    platform::http_minion_link link{std::make_shared<platform::http_pool>()};
    platform::minion_call call;
    call.request_id = "r1";
    call.method = "GET";
    auto const answer =
        base::capture([&] { return link.call(minion, call, 2s); });
    std::string const means =
        answer ? "answer" : std::string{base::name_of(answer.error().code)};
    BOOST_TEST(means == it.means);
}

BOOST_AUTO_TEST_SUITE_END()
