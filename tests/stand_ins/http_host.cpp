#include <stand_ins/http_host.hpp>

#include <model/json.hpp>
#include <stand_ins/connection_threads.hpp>

#include <utility>

namespace berylhill::stand_ins
{

namespace
{

constexpr std::size_t s_requests_a_connection = 1'000'000;
constexpr int s_loopback_any_port = 0;

fault fault_from(Json::Value const& it)
{
    return {it["subject"].asString(), it["fault"].asString(),
            it["value"].asDouble()};
}

} // namespace

http_host::http_host(history& seen, fault_handler on_fault)
{
    m_server.new_task_queue = []
    {
        return new connection_threads;
    };
    m_server.set_keep_alive_max_count(s_requests_a_connection);
    m_server.set_tcp_nodelay(true);
    m_server.Get(
        "/history",
        [&seen](httplib::Request const& request, httplib::Response& response)
        {
            std::size_t from = 0;
            if (request.has_param("from"))
            {
                from = std::stoul(request.get_param_value("from"));
            }
            response.set_content(seen.text(from), "application/x-ndjson");
        });
    add_control(std::move(on_fault));
}

http_host::~http_host()
{
    stop();
}

void http_host::add_control(fault_handler on_fault)
{
    m_server.Post(
        "/control",
        [on_fault = std::move(on_fault)](httplib::Request const& request,
                                         httplib::Response& response)
        {
            auto const value =
                base::capture([&] { return model::parse_json(request.body); });
            if (!value || !value.value().isObject() ||
                !on_fault(fault_from(value.value())))
            {
                response.status = 400;
                response.set_content("no such subject or fault\n",
                                     "text/plain");
                return;
            }
            response.set_content("{}", "application/json");
        });
}

int http_host::start(int port)
{
    if (port == s_loopback_any_port)
    {
        port = m_server.bind_to_any_port("127.0.0.1");
    }
    else if (!m_server.bind_to_port("127.0.0.1", port))
    {
        return 0;
    }
    if (port <= 0)
    {
        return 0;
    }
    m_thread = std::thread{[this]
                           {
                               m_server.listen_after_bind();
                           }};
    while (!m_server.is_running())
    {
        std::this_thread::yield();
    }
    return port;
}

void http_host::stop()
{
    if (!m_thread.joinable())
    {
        return;
    }
    m_server.stop();
    m_thread.join();
}

void break_off(httplib::Response& response)
{
    response.status = 200;
    response.set_content_provider(
        1, "application/octet-stream",
        [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
}

} // namespace berylhill::stand_ins
