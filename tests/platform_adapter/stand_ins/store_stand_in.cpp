#include "store_stand_in.hpp"

#include "query.hpp"

#include <json_codec/reader.hpp>

#include <openssl/evp.h>

#include <algorithm>
#include <stdexcept>

namespace berylhill::platform_test
{

namespace
{

namespace json = boost::json;

constexpr std::size_t kilobyte = 1'024;

/// What a read brings at most where it does not say.
constexpr std::size_t usual_kb = 1'024;

std::string big_endian(std::uint64_t it, int bytes)
{
    std::string out;
    for (int n = bytes - 1; n >= 0; --n)
    {
        out += static_cast<char>(it >> (8 * n) & 0xFFU);
    }
    return out;
}

std::string base64(std::string const& it)
{
    std::string out((it.size() + 2) / 3 * 4 + 1, '\0');
    auto const n =
        EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                        reinterpret_cast<unsigned char const*>(it.data()),
                        static_cast<int>(it.size()));
    out.resize(static_cast<std::size_t>(n));
    return out;
}

/// The records of the body of an append.
std::vector<std::string_view> records_in(std::string_view body)
{
    constexpr std::size_t length_bytes = 4;
    std::vector<std::string_view> out;
    while (body.size() >= length_bytes)
    {
        std::size_t length = 0;
        for (std::size_t n = 0; n < length_bytes; ++n)
        {
            length = length << 8 | static_cast<unsigned char>(body[n]);
        }
        out.push_back(body.substr(length_bytes, length));
        body.remove_prefix(std::min(body.size(), length_bytes + length));
    }
    return out;
}

std::string_view key_of(std::string_view record)
{
    return record.substr(1, static_cast<unsigned char>(record[0]));
}

network::http_response json_answer(unsigned status, json::object const& it)
{
    return {status, {}, json::serialize(it)};
}

} // namespace

store_stand_in::store_stand_in(boost::asio::io_context& loop,
                               network::socket_address const& at)
    : m_timer{loop}
    , m_server{loop, [this](auto const& it, auto answer)
               {
                   handle(it, std::move(answer));
               }}
{
    network::server_limits limits;
    limits.idle_time = std::chrono::seconds{60};
    // A call that is too large is rejected by the store and not by the server.
    limits.body_bytes = 2 * m_limits.call_bytes;
    m_server.set_limits(limits);
    auto const end = base::capture(
        [&]() -> base::result<base::done>
        {
            BOOST_LEAF_CHECK(m_server.listen(at));
            return base::done{};
        });
    if (!end)
    {
        throw std::runtime_error{end.error().message};
    }
    every_tick();
}

void store_stand_in::put(std::string const& topic,
                         std::string const& key,
                         std::string const& value)
{
    m_topics[topic].push_back({key, value});
    wake();
}

std::string store_stand_in::newest_value(std::string const& key) const
{
    std::string out;
    for (auto const& [topic, log] : m_topics)
    {
        auto const at =
            std::ranges::find(log.rbegin(), log.rend(), key, &entry::key);
        out = at == log.rend() ? out : at->value;
    }
    return out;
}

void store_stand_in::handle(network::http_request const& it,
                            network::responder answer)
{
    if (m_down)
    {
        answer({503, {}, {}});
        return;
    }
    auto const topic = query_value(it.target, "topic");
    auto const path = it.target.substr(0, it.target.find('?'));
    if (path == "/api/log-append")
    {
        append(topic, it.target, it.body, answer);
        return;
    }
    if (path == "/api/log-newest")
    {
        newest(topic, answer);
        return;
    }
    if (path != "/api/log-read")
    {
        answer({404, {}, {}});
        return;
    }
    auto const from =
        static_cast<std::size_t>(std::stoul(query_value(it.target, "from")));
    auto const wait = query_value(it.target, "waitMs");
    auto const most_kb = query_value(it.target, "maxKb");
    auto const most_bytes =
        kilobyte * (most_kb.empty() ? usual_kb : std::stoul(most_kb));
    if (wait.empty() || from < m_topics[topic].size())
    {
        answer_after(m_read_delay, answer, read(topic, from, most_bytes));
        return;
    }
    m_waiting.push_back({topic, from, most_bytes, std::move(answer),
                         std::chrono::steady_clock::now() +
                             std::chrono::milliseconds{std::stol(wait)}});
}

void store_stand_in::append(std::string const& topic,
                            std::string const& target,
                            std::string const& body,
                            network::responder const& answer)
{
    ++m_appends;
    if (rejects(body))
    {
        ++m_rejected;
        answer({400, {}, {}});
        return;
    }
    auto& log = m_topics[topic];
    auto const at = query_value(target, "at");
    if (!at.empty() && std::stoul(at) != log.size())
    {
        answer_after(m_append_delay, answer,
                     json_answer(412, {{"end", log.size()}}));
        return;
    }
    auto const first = log.size();
    for (auto const& record : records_in(body))
    {
        log.push_back({std::string{key_of(record)},
                       std::string{record.substr(1 + key_of(record).size())}});
    }
    m_lost_sum += m_lost_share;
    if (m_lost_sum >= 1)
    {
        m_lost_sum -= 1;
        m_lost.push_back(answer);
    }
    else
    {
        answer_after(
            m_append_delay, answer,
            json_answer(200, {{"offset", first}, {"end", log.size()}}));
    }
    wake();
}

bool store_stand_in::rejects(std::string_view body) const
{
    return body.size() > m_limits.call_bytes ||
           std::ranges::any_of(
               records_in(body),
               [this](std::string_view record)
               {
                   return record.size() > m_limits.record_bytes ||
                          (!m_rejected_key.empty() &&
                           key_of(record).find(m_rejected_key) !=
                               std::string_view::npos);
               });
}

void store_stand_in::answer_after(std::chrono::milliseconds delay,
                                  network::responder const& answer,
                                  network::http_response response)
{
    if (delay.count() == 0)
    {
        answer(std::move(response));
        return;
    }
    m_late.push_back({answer, std::move(response),
                      std::chrono::steady_clock::now() + delay});
}

void store_stand_in::answer_late()
{
    auto const now = std::chrono::steady_clock::now();
    for (auto it = m_late.begin(); it != m_late.end();)
    {
        if (now < it->at)
        {
            ++it;
            continue;
        }
        it->answer(std::move(it->response));
        it = m_late.erase(it);
    }
}

void store_stand_in::newest(std::string const& topic,
                            network::responder const& answer)
{
    ++m_newest_reads[topic];
    auto const& log = m_topics[topic];
    std::map<std::string, std::size_t> last;
    for (std::size_t n = 0; n < log.size(); ++n)
    {
        last[log[n].key] = n;
    }
    json::array items;
    for (auto const& [key, n] : last)
    {
        if (!log[n].value.empty())
        {
            items.emplace_back(json::object{
                {"key", key}, {"value", base64(log[n].value)}, {"offset", n}});
        }
    }
    answer_after(m_read_delay, answer,
                 json_answer(200, {{"items", std::move(items)},
                                   {"truncated", false},
                                   {"end", log.size()}}));
}

network::http_response store_stand_in::read(std::string const& topic,
                                            std::size_t from,
                                            std::size_t most_bytes) const
{
    auto const at = m_topics.find(topic);
    auto const& log = at == m_topics.end() ? std::vector<entry>{} : at->second;
    auto body = big_endian(log.size(), 8) + big_endian(0, 8);
    std::size_t bytes = 0;
    for (auto n = from; n < log.size(); ++n)
    {
        auto const& it = log[n];
        bytes += it.key.size() + it.value.size();
        if (bytes > most_bytes && (n > from || m_strict_size))
        {
            break;
        }
        body += big_endian(1 + it.key.size() + it.value.size(), 4);
        body += big_endian(it.key.size(), 1) + it.key + it.value;
    }
    return {200, {}, body, "application/octet-stream"};
}

void store_stand_in::wake()
{
    auto const now = std::chrono::steady_clock::now();
    for (auto it = m_waiting.begin(); it != m_waiting.end();)
    {
        if (it->from < m_topics[it->topic].size() || now >= it->until)
        {
            answer_after(m_read_delay, it->answer,
                         read(it->topic, it->from, it->most_bytes));
            it = m_waiting.erase(it);
            continue;
        }
        ++it;
    }
}

void store_stand_in::every_tick()
{
    m_timer.expires_after(std::chrono::milliseconds{10});
    m_timer.async_wait(
        [this](auto ec)
        {
            if (!ec)
            {
                answer_late();
                wake();
                every_tick();
            }
        });
}

} // namespace berylhill::platform_test
