#include <stand_ins/log_stand_in.hpp>

#include <model/json.hpp>

#include <algorithm>
#include <utility>

namespace berylhill::stand_ins
{

namespace
{

constexpr int s_too_many_requests = 429;
constexpr int s_service_unavailable = 503;
constexpr std::int64_t s_longest_wait_ms = 60'000;
/// A burst of a tenth of a second's appends is let through.
constexpr double s_burst_s = 0.1;

std::int64_t number_in(httplib::Request const& request,
                       char const* name,
                       std::int64_t otherwise)
{
    if (!request.has_param(name))
    {
        return otherwise;
    }
    return std::strtoll(request.get_param_value(name).c_str(), nullptr, 10);
}

void pause(double ms)
{
    if (ms > 0)
    {
        std::this_thread::sleep_for(
            std::chrono::duration<double, std::milli>{ms});
    }
}

} // namespace

log_stand_in::log_stand_in(log_options options, history& seen)
    : m_options{options}
    , m_seen{seen}
    , m_random{options.seed}
    , m_tokens{options.appends_per_s * s_burst_s}
    , m_refilled{m_clock.now()}
    , m_host{seen, [this](fault const& it)
             {
                 return apply(it);
             }}
{
    m_host.server().Post(
        "/streams/([^/]+)/records",
        [this](httplib::Request const& request, httplib::Response& response)
        { append(request, response); });
    m_host.server().Get(
        "/streams/([^/]+)/records",
        [this](httplib::Request const& request, httplib::Response& response)
        { read(request, response); });
}

log_stand_in::~log_stand_in()
{
    {
        std::lock_guard const lock{m_mutex};
        m_stopping = true;
    }
    m_appended.notify_all();
    m_host.stop();
}

bool log_stand_in::apply(fault const& it)
{
    if (it.subject != "log")
    {
        return false;
    }
    std::lock_guard const lock{m_mutex};
    if (it.name == "down" || it.name == "up")
    {
        m_down = it.name == "down";
        if (!m_down)
        {
            m_slow_ms = m_lose_before = m_lose_after = 0;
        }
    }
    else if (it.name == "slow")
    {
        m_slow_ms = it.value;
    }
    else if (it.name == "lose_before")
    {
        m_lose_before = it.value;
    }
    else if (it.name == "lose_after")
    {
        m_lose_after = it.value;
    }
    else
    {
        return false;
    }
    Json::Value details;
    details["fault"] = it.name;
    details["value"] = it.value;
    m_seen.add("fault", "log", details);
    m_appended.notify_all();
    return true;
}

bool log_stand_in::take_token()
{
    auto const now = m_clock.now();
    auto const most = std::max(1.0, m_options.appends_per_s * s_burst_s);
    m_tokens = std::min(most, m_tokens + base::seconds_of(now - m_refilled) *
                                             m_options.appends_per_s);
    m_refilled = now;
    if (m_tokens < 1)
    {
        return false;
    }
    m_tokens -= 1;
    return true;
}

bool log_stand_in::strikes(double percent)
{
    return std::uniform_real_distribution<>{0, 100}(m_random) < percent;
}

void log_stand_in::retain(stream& it)
{
    auto const oldest = m_clock.now() - base::from_seconds(m_options.retain_s);
    while (!it.records.empty() &&
           (it.records.size() > m_options.retain_records ||
            it.records.front().at < oldest))
    {
        it.records.pop_front();
        ++it.first;
    }
}

void log_stand_in::append(httplib::Request const& request,
                          httplib::Response& response)
{
    std::string const name = request.matches[1];
    std::unique_lock lock{m_mutex};
    auto const slow_ms = m_slow_ms;
    if (m_down)
    {
        response.status = s_service_unavailable;
        return;
    }
    if (!take_token())
    {
        response.status = s_too_many_requests;
        m_seen.add("append_refused", name);
        return;
    }
    if (strikes(m_lose_before))
    {
        break_off(response);
        return;
    }
    auto& it = m_streams[name];
    auto const offset = it.next();
    it.records.push_back({m_clock.now(), request.body});
    retain(it);
    Json::Value details;
    details["offset"] = Json::Int64{offset};
    details["bytes"] = Json::UInt64{request.body.size()};
    m_seen.add("append", name, details);
    m_appended.notify_all();
    auto const lost = strikes(m_lose_after);
    lock.unlock();
    pause(slow_ms);
    if (lost)
    {
        break_off(response);
        return;
    }
    response.set_content("{\"offset\":" + std::to_string(offset) + "}",
                         "application/json");
}

void log_stand_in::read(httplib::Request const& request,
                        httplib::Response& response)
{
    auto const from = number_in(request, "from", 0);
    auto const most = number_in(request, "most", 1'000);
    auto const wait_ms = std::clamp<std::int64_t>(
        number_in(request, "wait_ms", 0), 0, s_longest_wait_ms);
    std::unique_lock lock{m_mutex};
    auto& it = m_streams[request.matches[1]];
    m_appended.wait_for(lock, std::chrono::milliseconds{wait_ms},
                        [&]
                        { return m_stopping || m_down || it.next() > from; });
    if (m_down || m_stopping)
    {
        response.status = s_service_unavailable;
        return;
    }
    retain(it);
    Json::Value page;
    page["first"] = Json::Int64{it.first};
    page["next"] = Json::Int64{it.next()};
    page["records"] = Json::Value{Json::arrayValue};
    auto const begin = std::max(from, it.first);
    auto const end =
        std::min(it.next(), begin + std::max<std::int64_t>(most, 0));
    for (auto n = begin; n < end; ++n)
    {
        Json::Value shown;
        shown["offset"] = Json::Int64{n};
        shown["body"] = it.records[static_cast<std::size_t>(n - it.first)].body;
        page["records"].append(shown);
    }
    auto const slow_ms = m_slow_ms;
    lock.unlock();
    pause(slow_ms);
    response.set_content(model::text_of(page), "application/json");
}

} // namespace berylhill::stand_ins
