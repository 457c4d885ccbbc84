#include <stand_ins/minions_stand_in.hpp>

#include <model/json.hpp>

#include <algorithm>
#include <utility>

namespace berylhill::stand_ins
{

namespace
{

constexpr auto s_register_every = std::chrono::seconds{1};
constexpr int s_service_unavailable = 503;

std::string id_of(httplib::Request const& it)
{
    return it.get_header_value("X-Request-Id");
}

Json::Value call_details(httplib::Request const& it)
{
    Json::Value details;
    details["request_id"] = id_of(it);
    details["target"] = it.path;
    details["port"] = it.remote_port;
    return details;
}

model::endpoint minion_endpoint(minion_group const& group, std::int32_t n)
{
    model::endpoint it;
    it.id = group.prefix + std::to_string(n);
    it.kind = model::endpoint_kind::minion;
    it.path = "/minions/" + it.id;
    it.zone = group.zone;
    it.service = group.service;
    it.slots = group.slots;
    it.connections = group.connections;
    return it;
}

} // namespace

minions_stand_in::minions_stand_in(minions_options options, history& seen)
    : m_options{std::move(options)}
    , m_seen{seen}
    , m_random{m_options.seed}
    , m_host{seen, [this](fault const& it)
             {
                 return apply(it);
             }}
{
    for (auto const& group : m_options.groups)
    {
        for (std::int32_t n = 1; n <= group.count; ++n)
        {
            minion_state it;
            it.self = minion_endpoint(group, n);
            it.least_ms = group.least_ms;
            it.most_ms = group.most_ms;
            m_minions.emplace(it.self.id, std::move(it));
        }
    }
    auto const handler =
        [this](httplib::Request const& request, httplib::Response& response)
    {
        serve(request, response);
    };
    m_host.server().Get("/minions/([^/]+)/(.*)", handler);
    m_host.server().Post("/minions/([^/]+)/(.*)", handler);
}

minions_stand_in::~minions_stand_in()
{
    {
        std::lock_guard const lock{m_mutex};
        m_stopping = true;
    }
    m_changed.notify_all();
    if (m_thread.joinable())
    {
        m_thread.join();
    }
    m_host.stop();
}

int minions_stand_in::start(int port, registrar tell)
{
    m_tell = std::move(tell);
    auto const bound = m_host.start(port);
    m_address = "127.0.0.1:" + std::to_string(bound);
    m_thread = std::thread{[this]
                           {
                               run();
                           }};
    return bound;
}

void minions_stand_in::run()
{
    std::unique_lock lock{m_mutex};
    while (!m_stopping)
    {
        for (auto const& it : m_minions)
        {
            auto self = it.second.self;
            self.address = m_address;
            self.state = it.second.leaving ? model::listed_state::leaving
                                           : model::listed_state::live;
            m_tell(self);
        }
        m_changed.wait_for(lock, s_register_every,
                           [this] { return m_stopping; });
    }
}

bool minions_stand_in::hold_silent(minion_state& it, int port)
{
    std::unique_lock lock{m_mutex};
    it.seen_ports.insert(port);
    if (!it.silent.contains(port))
    {
        return false;
    }
    m_changed.wait(lock,
                   [&] { return m_stopping || !it.silent.contains(port); });
    return true;
}

void minions_stand_in::serve(httplib::Request const& request,
                             httplib::Response& response)
{
    auto const known = m_minions.find(request.matches[1]);
    if (known == m_minions.end())
    {
        response.status = 404;
        return;
    }
    auto& minion = known->second;
    if (hold_silent(minion, request.remote_port))
    {
        break_off(response);
        return;
    }
    response.set_header("X-Request-Id", id_of(request));
    if (request.matches[2] == "ping")
    {
        response.set_content("{}", "application/json");
        return;
    }
    if (begin(minion, request, response))
    {
        finish(minion, request, response);
    }
}

bool minions_stand_in::begin(minion_state& it,
                             httplib::Request const& request,
                             httplib::Response& response)
{
    std::unique_lock lock{m_mutex};
    auto details = call_details(request);
    if (it.refuses || it.busy >= it.self.slots)
    {
        details["busy"] = it.busy;
        details["why"] = it.refuses ? "told" : "full";
        details["slots"] = it.self.slots;
        m_seen.add("call_refused", it.self.id, details);
        response.status = s_service_unavailable;
        response.set_header("X-Ran", "no");
        response.set_content("{}", "application/json");
        return false;
    }
    ++it.busy;
    details["busy"] = it.busy;
    details["slots"] = it.self.slots;
    m_seen.add("call_begun", it.self.id, details);
    auto const spread =
        std::uniform_real_distribution<>{it.least_ms, it.most_ms}(m_random);
    auto const ms = it.slow_ms + spread;
    m_changed.wait_for(lock, std::chrono::duration<double, std::milli>{ms},
                       [this] { return m_stopping; });
    --it.busy;
    return true;
}

void minions_stand_in::finish(minion_state& it,
                              httplib::Request const& request,
                              httplib::Response& response)
{
    std::lock_guard const lock{m_mutex};
    auto const id = id_of(request);
    m_seen.add("call_ended", it.self.id, call_details(request));
    Json::Value answer;
    answer["request_id"] = id;
    answer["minion"] = it.self.id;
    answer["service"] = it.self.service;
    answer["target"] = request.path;
    answer["echo"] = request.body;
    auto body = model::text_of(answer);
    if (it.crosses && !it.previous_id.empty())
    {
        response.headers.erase("X-Request-Id");
        response.set_header("X-Request-Id", it.previous_id);
        std::swap(body, it.previous_body);
    }
    else
    {
        it.previous_body = body;
    }
    it.previous_id = id;
    if (it.truncates)
    {
        break_off(response);
        return;
    }
    response.status = it.fails ? 500 : 200;
    response.set_content(body, "application/json");
}

bool minions_stand_in::set_fault(minion_state& minion, fault const& it)
{
    if (it.name == "slow")
    {
        minion.slow_ms = it.value;
    }
    else if (it.name == "fail")
    {
        minion.fails = true;
    }
    else if (it.name == "refuse")
    {
        minion.refuses = true;
    }
    else if (it.name == "crossed")
    {
        minion.crosses = true;
    }
    else if (it.name == "truncated")
    {
        minion.truncates = true;
    }
    else if (it.name == "silent")
    {
        minion.silent = minion.seen_ports;
    }
    else if (it.name == "leaving")
    {
        minion.leaving = true;
    }
    else if (it.name == "heal")
    {
        minion.slow_ms = 0;
        minion.fails = minion.refuses = false;
        minion.crosses = minion.truncates = false;
        minion.silent.clear();
    }
    else
    {
        return false;
    }
    return true;
}

bool minions_stand_in::apply(fault const& it)
{
    std::lock_guard const lock{m_mutex};
    auto const known = m_minions.find(it.subject);
    if (known == m_minions.end() || !set_fault(known->second, it))
    {
        return false;
    }
    Json::Value details;
    details["fault"] = it.name;
    details["value"] = it.value;
    m_seen.add("fault", it.subject, details);
    m_changed.notify_all();
    return true;
}

} // namespace berylhill::stand_ins
