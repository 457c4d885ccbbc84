#include <command/entry_client.hpp>

#include <api/problem.hpp>
#include <base/failed_tries.hpp>
#include <model/json.hpp>

#include <httplib.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <utility>

namespace berylhill::command
{

namespace
{

constexpr int s_first_error_status = 300;
/// Within a data centre a connection is there in milliseconds or not at all.
constexpr auto s_connect_timeout = std::chrono::seconds{2};

httplib::Request library_request(entry_request const& from)
{
    httplib::Request to;
    to.method = from.method;
    to.path = from.target;
    for (auto const& it : from.headers)
    {
        to.headers.emplace(it.name, it.value);
    }
    if (from.method != "GET")
    {
        to.headers.emplace("Content-Type", from.content_type);
        to.body = from.body;
    }
    return to;
}

bool is_success(entry_answer const& it)
{
    return it.status < s_first_error_status;
}

bool changes_nothing(entry_request const& it)
{
    return it.method == "GET";
}

base::failure rejection_of(entry_answer const& it)
{
    return api::failure_of(api::problem_from(it.status, it.body));
}

bool surely_not_sent(httplib::Error it)
{
    return it == httplib::Error::Connection ||
           it == httplib::Error::ConnectionTimeout;
}

base::result<entry_answer> fail_with(std::string const& entry,
                                     httplib::Error why)
{
    if (surely_not_sent(why))
    {
        return base::fail(base::failure_code::unavailable,
                          "entry " + entry + ": no connection");
    }
    return base::fail(base::failure_code::outcome_unknown,
                      "entry " + entry + ": no whole answer came (" +
                          httplib::to_string(why) + ")");
}

} // namespace

entry_client::entry_client(std::vector<std::string> entries,
                           base::duration timeout)
    : m_entries{std::move(entries)}
    , m_timeout{timeout}
{
    assert(!m_entries.empty());
}

base::result<entry_answer>
entry_client::send(entry_request const& request) const
{
    base::failed_tries tries;
    for (auto const& it : m_entries)
    {
        auto const answer = base::capture([&] { return send_to(it, request); });
        if (answer && (is_success(answer.value()) || changes_nothing(request) ||
                       !tries.may_have_been_done()))
        {
            return answer.value();
        }
        tries.add(answer ? rejection_of(answer.value()) : answer.error());
        // The entry may have taken the request before its answer was lost.
        // Sent to the next one as well, it would be done twice.
        if (answer ||
            (tries.may_have_been_done() && request.again == repeat::forbidden))
        {
            break;
        }
    }
    auto out = tries.outcome();
    if (out.code == base::failure_code::unavailable)
    {
        out.message += ", nothing was sent";
    }
    return base::fail(out);
}

base::result<Json::Value> entry_client::ask(entry_request const& request) const
{
    BOOST_LEAF_AUTO(answer, send(request));
    if (!is_success(answer))
    {
        return base::fail(rejection_of(answer));
    }
    return model::parse_json(answer.body);
}

entry_client entry_client::only(std::string const& entry) const
{
    return {{entry}, m_timeout};
}

base::result<entry_answer>
entry_client::send_to(std::string const& entry,
                      entry_request const& request) const
{
    httplib::Client client{"http://" + entry};
    if (!client.is_valid())
    {
        return base::fail(base::failure_code::invalid,
                          "\"" + entry + "\" is no address IP:port");
    }
    client.set_url_encode(false);
    client.set_connection_timeout(s_connect_timeout);
    client.set_read_timeout(m_timeout);
    client.set_write_timeout(m_timeout);
    auto const answer = client.send(library_request(request));
    if (!answer)
    {
        return fail_with(entry, answer.error());
    }
    return entry_answer{answer->status,
                        answer->get_header_value("Content-Type"), answer->body};
}

entry_request get(std::string target)
{
    entry_request it;
    it.target = std::move(target);
    return it;
}

entry_request post(std::string target, Json::Value const& body, repeat again)
{
    entry_request it;
    it.method = "POST";
    it.target = std::move(target);
    it.body = model::text_of(body);
    it.again = again;
    return it;
}

std::string encoded(std::string const& text)
{
    constexpr std::string_view plain = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                       "abcdefghijklmnopqrstuvwxyz"
                                       "0123456789-._~";
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string out;
    for (char const it : text)
    {
        if (plain.find(it) != std::string_view::npos)
        {
            out += it;
            continue;
        }
        auto const byte = static_cast<unsigned char>(it);
        out += '%';
        out += digits[byte / digits.size()];
        out += digits[byte % digits.size()];
    }
    return out;
}

} // namespace berylhill::command
