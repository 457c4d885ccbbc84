#include <harness/bounded_store.hpp>

#include <json_codec/reader.hpp>
#include <stand_ins/query.hpp>

#include <openssl/evp.h>

#include <algorithm>
#include <optional>
#include <stdexcept>
#include <utility>

namespace berylhill::review
{

namespace
{

namespace json = boost::json;

/// `recordBytes` and `callBytes` of the settings.
constexpr std::size_t record_bytes = 262'144;
constexpr std::size_t call_bytes = 2'097'152;

/// `partMb` is 200; what is older expires here well below it.
constexpr std::size_t kept_bytes = std::size_t{100} * 1024 * 1024;

/// `appendMs`.
constexpr std::chrono::milliseconds append_time{4};

constexpr std::size_t kilobyte = 1'024;
constexpr std::size_t usual_kb = 1'024;
constexpr std::size_t page_entries = 500;
constexpr std::size_t page_bytes = kilobyte * kilobyte;
constexpr std::size_t length_bytes = 4;
constexpr std::chrono::milliseconds tick{2};

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

std::string url_decoded(std::string const& it)
{
    constexpr int hexadecimal = 16;
    std::string out;
    for (std::size_t n = 0; n < it.size(); ++n)
    {
        if (it[n] == '%' && n + 2 < it.size())
        {
            out += static_cast<char>(
                std::stoi(it.substr(n + 1, 2), nullptr, hexadecimal));
            n += 2;
            continue;
        }
        out += it[n];
    }
    return out;
}

network::http_response json_answer(unsigned status, json::object const& it)
{
    return {status, {}, json::serialize(it)};
}

/// The records of a body; nothing if it is malformed.
std::optional<std::vector<std::string_view>> records_in(std::string_view body)
{
    std::vector<std::string_view> out;
    while (!body.empty())
    {
        if (body.size() < length_bytes)
        {
            return std::nullopt;
        }
        std::size_t length = 0;
        for (std::size_t n = 0; n < length_bytes; ++n)
        {
            length = length << 8 | static_cast<unsigned char>(body[n]);
        }
        body.remove_prefix(length_bytes);
        if (length == 0 || body.size() < length)
        {
            return std::nullopt;
        }
        out.push_back(body.substr(0, length));
        body.remove_prefix(length);
    }
    return out;
}

} // namespace

bounded_store::bounded_store(boost::asio::io_context& loop,
                             network::socket_address const& at,
                             reject_handler on_rejected)
    : m_timer{loop}
    , m_server{loop,
               [this](auto const& it, auto answer)
               {
                   handle(it, std::move(answer));
               }}
    , m_on_rejected{std::move(on_rejected)}
{
    network::server_limits limits;
    limits.idle_time = std::chrono::seconds{60};
    limits.body_bytes = 2 * call_bytes;
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

void bounded_store::put(std::string const& topic,
                        std::string const& key,
                        std::string const& value)
{
    add(m_topics[topic], {key, value});
    wake();
}

std::string bounded_store::newest_value(std::string const& topic,
                                        std::string const& key) const
{
    auto const at = m_topics.find(topic);
    if (at == m_topics.end())
    {
        return {};
    }
    auto const known = at->second.newest.find(key);
    return known == at->second.newest.end() ? std::string{}
                                            : known->second.value;
}

void bounded_store::add(topic_log& to, entry it)
{
    if (it.value.empty())
    {
        to.newest.erase(it.key);
    }
    else
    {
        to.newest[it.key] = {it.value, to.end()};
    }
    to.bytes += it.key.size() + it.value.size();
    to.entries.push_back(std::move(it));
    while (to.bytes > kept_bytes && to.entries.size() > 1)
    {
        auto const& oldest = to.entries.front();
        to.bytes -= oldest.key.size() + oldest.value.size();
        to.entries.pop_front();
        ++to.first;
    }
}

void bounded_store::handle(network::http_request const& it,
                           network::responder answer)
{
    using platform_test::query_value;
    auto const topic = query_value(it.target, "topic");
    auto const path = it.target.substr(0, it.target.find('?'));
    if (path == "/api/log-append")
    {
        append(topic, it, std::move(answer));
        return;
    }
    if (path == "/api/log-newest")
    {
        newest(topic, url_decoded(query_value(it.target, "after")), answer);
        return;
    }
    if (path != "/api/log-read")
    {
        answer({404, {}, {}});
        return;
    }
    auto const& log = m_topics[topic];
    auto const from = std::stoull(query_value(it.target, "from"));
    auto const wait = query_value(it.target, "waitMs");
    auto const most_kb = query_value(it.target, "maxKb");
    auto const most_bytes =
        kilobyte * (most_kb.empty() ? usual_kb : std::stoul(most_kb));
    if (wait.empty() || from < log.end())
    {
        answer(read(log, from, most_bytes));
        return;
    }
    m_waiting.push_back({topic, from, most_bytes, std::move(answer),
                         std::chrono::steady_clock::now() +
                             std::chrono::milliseconds{std::stol(wait)}});
}

void bounded_store::append(std::string const& topic,
                           network::http_request const& it,
                           network::responder answer)
{
    auto const records = records_in(it.body);
    std::size_t largest = 0;
    for (auto const& record : records.value_or(std::vector<std::string_view>{}))
    {
        largest = std::max(largest, record.size());
    }
    if (!records || largest > record_bytes || it.body.size() > call_bytes)
    {
        m_on_rejected(largest, it.body.size());
        answer({400, {}, {}});
        return;
    }
    auto& log = m_topics[topic];
    auto const at = platform_test::query_value(it.target, "at");
    if (!at.empty() && std::stoull(at) != log.end())
    {
        answer(json_answer(412, {{"end", log.end()}}));
        return;
    }
    auto const first = log.end();
    for (auto const& record : *records)
    {
        auto const key = static_cast<unsigned char>(record[0]);
        add(log, {std::string{record.substr(1, key)},
                  std::string{record.substr(std::size_t{1} + key)}});
    }
    m_late.push_back({std::move(answer),
                      json_answer(200, {{"offset", first}, {"end", log.end()}}),
                      std::chrono::steady_clock::now() + append_time});
    wake();
}

void bounded_store::newest(std::string const& topic,
                           std::string const& after,
                           network::responder const& answer) const
{
    auto const at = m_topics.find(topic);
    if (at == m_topics.end())
    {
        answer(json_answer(
            200, {{"items", json::array{}}, {"truncated", false}, {"end", 0}}));
        return;
    }
    json::array items;
    std::size_t bytes = 0;
    auto it = at->second.newest.upper_bound(after);
    for (; it != at->second.newest.end() && items.size() < page_entries &&
           (items.empty() || bytes + it->second.value.size() <= page_bytes);
         ++it)
    {
        bytes += it->second.value.size();
        items.emplace_back(json::object{{"key", it->first},
                                        {"value", base64(it->second.value)},
                                        {"offset", it->second.offset}});
    }
    answer(json_answer(200, {{"items", std::move(items)},
                             {"truncated", it != at->second.newest.end()},
                             {"end", at->second.end()}}));
}

network::http_response bounded_store::read(topic_log const& from,
                                           std::uint64_t offset,
                                           std::size_t most_bytes) const
{
    if (offset < from.first)
    {
        return json_answer(410, {{"first", from.first}});
    }
    auto body = big_endian(from.end(), 8) + big_endian(from.first, 8);
    std::size_t bytes = 0;
    for (auto n = offset; n < from.end(); ++n)
    {
        auto const& it = from.entries[static_cast<std::size_t>(n - from.first)];
        bytes += it.key.size() + it.value.size();
        if (bytes > most_bytes && n > offset)
        {
            break;
        }
        body += big_endian(1 + it.key.size() + it.value.size(), 4);
        body += big_endian(it.key.size(), 1) + it.key + it.value;
    }
    return {200, {}, std::move(body), "application/octet-stream"};
}

void bounded_store::wake()
{
    auto const now = std::chrono::steady_clock::now();
    for (auto it = m_waiting.begin(); it != m_waiting.end();)
    {
        auto const& log = m_topics[it->topic];
        if (it->from < log.end() || now >= it->until)
        {
            it->answer(read(log, it->from, it->most_bytes));
            it = m_waiting.erase(it);
            continue;
        }
        ++it;
    }
}

void bounded_store::every_tick()
{
    m_timer.expires_after(tick);
    m_timer.async_wait(
        [this](auto ec)
        {
            if (ec)
            {
                return;
            }
            auto const now = std::chrono::steady_clock::now();
            while (!m_late.empty() && now >= m_late.front().at)
            {
                auto it = std::move(m_late.front());
                m_late.pop_front();
                it.answer(std::move(it.response));
            }
            wake();
            every_tick();
        });
}

} // namespace berylhill::review
