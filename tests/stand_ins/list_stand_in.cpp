#include <stand_ins/list_stand_in.hpp>

#include <model/json.hpp>

#include <utility>

namespace berylhill::stand_ins
{

namespace
{

constexpr auto s_tick = std::chrono::milliseconds{50};

Json::Value empty_list()
{
    Json::Value list;
    list["endpoints"] = Json::Value{Json::arrayValue};
    return list;
}

} // namespace

list_stand_in::list_stand_in(list_options options, history& seen)
    : m_options{options}
    , m_seen{seen}
    , m_host{seen, [this](fault const& it)
             {
                 return apply(it);
             }}
{
    add_routes();
    m_thread = std::thread{[this]
                           {
                               run();
                           }};
}

list_stand_in::~list_stand_in()
{
    {
        std::lock_guard const lock{m_mutex};
        m_stopping = true;
    }
    m_stop.notify_all();
    m_thread.join();
    m_host.stop();
}

void list_stand_in::add_routes()
{
    auto& server = m_host.server();
    server.Get("/endpoints",
               [this](httplib::Request const&, httplib::Response& response)
               {
                   std::lock_guard const lock{m_mutex};
                   response.set_content(lagged(m_clock.now()),
                                        "application/json");
               });
    server.Put(
        "/endpoints/([^/]+)",
        [this](httplib::Request const& request, httplib::Response& response)
        {
            auto const it = base::capture(
                [&]() -> base::result<model::endpoint>
                {
                    BOOST_LEAF_AUTO(value, model::parse_json(request.body));
                    return model::endpoint_from(value);
                });
            if (!it || it.value().id != request.matches[1])
            {
                response.status = 400;
                return;
            }
            put(it.value());
            response.set_content("{}", "application/json");
        });
    server.Delete(
        "/endpoints/([^/]+)",
        [this](httplib::Request const& request, httplib::Response& response)
        {
            std::lock_guard const lock{m_mutex};
            m_entries.erase(request.matches[1]);
            m_seen.add("endpoint_removed", request.matches[1]);
            response.set_content("{}", "application/json");
        });
    server.Post(
        "/endpoints/([^/]+)/leaving",
        [this](httplib::Request const& request, httplib::Response& response)
        {
            std::lock_guard const lock{m_mutex};
            auto const it = m_entries.find(request.matches[1]);
            if (it == m_entries.end())
            {
                response.status = 404;
                return;
            }
            it->second.leaving = true;
            m_seen.add("endpoint_leaving", it->first);
            response.set_content("{}", "application/json");
        });
}

void list_stand_in::put(model::endpoint const& it)
{
    std::lock_guard const lock{m_mutex};
    auto& known = m_entries[it.id];
    if (known.value.id.empty())
    {
        Json::Value details;
        details["endpoint"] = model::to_json(it);
        m_seen.add("endpoint_listed", it.id, details);
    }
    known.value = it;
    known.seen_at = m_clock.now();
    known.leaving = known.leaving || it.state == model::listed_state::leaving;
}

bool list_stand_in::apply(fault const& it)
{
    if (it.subject != "list" || (it.name != "freeze" && it.name != "thaw"))
    {
        return false;
    }
    std::lock_guard const lock{m_mutex};
    m_frozen = it.name == "freeze";
    Json::Value details;
    details["fault"] = it.name;
    m_seen.add("fault", "list", details);
    return true;
}

std::string list_stand_in::render()
{
    auto list = empty_list();
    auto const oldest =
        m_clock.now() - std::chrono::milliseconds{m_options.expire_ms};
    for (auto it = m_entries.begin(); it != m_entries.end();)
    {
        if (it->second.seen_at < oldest)
        {
            m_seen.add("endpoint_expired", it->first);
            it = m_entries.erase(it);
            continue;
        }
        auto shown = it->second.value;
        shown.state = it->second.leaving ? model::listed_state::leaving
                                         : model::listed_state::live;
        list["endpoints"].append(model::to_json(shown));
        ++it;
    }
    return model::text_of(list);
}

std::string list_stand_in::lagged(base::instant now) const
{
    auto const lag = std::chrono::milliseconds{m_options.lag_ms};
    std::string body = model::text_of(empty_list());
    for (auto const& it : m_snapshots)
    {
        if (it.at + lag > now && !m_frozen)
        {
            break;
        }
        body = it.body;
    }
    return body;
}

void list_stand_in::run()
{
    std::unique_lock lock{m_mutex};
    while (!m_stopping)
    {
        if (!m_frozen)
        {
            auto const now = m_clock.now();
            auto const lag = std::chrono::milliseconds{m_options.lag_ms};
            m_snapshots.push_back({now, render()});
            while (m_snapshots.size() > 1 && m_snapshots[1].at + lag <= now)
            {
                m_snapshots.pop_front();
            }
        }
        m_stop.wait_for(lock, s_tick);
    }
}

} // namespace berylhill::stand_ins
