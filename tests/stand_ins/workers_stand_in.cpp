#include <stand_ins/workers_stand_in.hpp>

#include <model/json.hpp>
#include <platform/worker_codec.hpp>

#include <algorithm>
#include <utility>

namespace berylhill::stand_ins
{

namespace
{

constexpr auto s_tick = std::chrono::milliseconds{5};
constexpr int s_ticks_a_second = 200;
/// A cut does not outlast the longest scenario.
constexpr auto s_longest_cut = std::chrono::minutes{2};
/// Clocks of workers differ by so much, far more than any lease.
constexpr auto s_clock_step = std::chrono::hours{7};

model::endpoint worker_endpoint(worker_group const& group, std::int32_t n)
{
    model::endpoint it;
    it.id = group.prefix + std::to_string(n);
    it.kind = model::endpoint_kind::worker;
    it.path = "/workers/" + it.id;
    it.zone = group.zone;
    it.rack = group.zone + "/" + group.prefix + "rack-" +
              std::to_string((n - 1) / group.rack_size + 1);
    it.capacity = {group.cores * 1'000, group.memory_mb, 0};
    return it;
}

} // namespace

workers_stand_in::workers_stand_in(workers_options options, history& seen)
    : m_options{std::move(options)}
    , m_seen{seen}
    , m_host{seen, [this](fault const& it)
             {
                 return apply(it);
             }}
{
    for (auto const& it : m_options.groups)
    {
        add_group(it);
    }
    m_host.server().Post(
        "/workers/([^/]+)/exchange",
        [this](httplib::Request const& request, httplib::Response& response)
        { exchange(request, response); });
}

workers_stand_in::~workers_stand_in()
{
    m_stopping = true;
    for (auto& it : m_workers)
    {
        it.second->in.open();
        it.second->out.open();
    }
    if (m_thread.joinable())
    {
        m_thread.join();
    }
    m_host.stop();
}

void workers_stand_in::add_group(worker_group const& group)
{
    for (std::int32_t n = 1; n <= group.count; ++n)
    {
        auto it = worker_endpoint(group, n);
        auto const id = it.id;
        auto const offset =
            s_clock_step * static_cast<std::int64_t>(m_workers.size() + 1);
        m_workers[id] = std::make_unique<worker_stand_in>(
            std::move(it), offset,
            std::chrono::milliseconds{m_options.usage_lag_ms},
            m_options.time_scale, m_checkpoints, m_seen);
    }
}

int workers_stand_in::start(int port, registrar tell)
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

void workers_stand_in::run()
{
    for (int n = 0; !m_stopping; ++n)
    {
        for (auto const& it : m_workers)
        {
            it.second->tick();
            if (n % s_ticks_a_second == 0 && !it.second->gone)
            {
                auto self = it.second->self();
                self.address = m_address;
                m_tell(self);
            }
        }
        std::this_thread::sleep_for(s_tick);
    }
}

void workers_stand_in::exchange(httplib::Request const& request,
                                httplib::Response& response)
{
    auto const known = m_workers.find(request.matches[1]);
    if (known == m_workers.end())
    {
        response.status = 404;
        return;
    }
    auto& worker = *known->second;
    if (worker.in.pass(s_longest_cut) || worker.gone)
    {
        // Cut on the way in: it never came, so it has no effect.
        break_off(response);
        return;
    }
    auto const message = base::capture(
        [&]() -> base::result<platform::worker_request>
        {
            BOOST_LEAF_AUTO(value, model::parse_json(request.body));
            return platform::worker_request_from(value);
        });
    if (!message)
    {
        response.status = 400;
        response.set_content(message.error().message, "text/plain");
        return;
    }
    auto const answer = worker.exchange(message.value());
    if (worker.out.pass(s_longest_cut))
    {
        break_off(response);
        return;
    }
    if (!answer)
    {
        response.status = 409;
        return;
    }
    response.set_content(model::text_of(platform::to_json(*answer)),
                         "application/json");
}

bool workers_stand_in::apply(fault const& it)
{
    auto const known = m_workers.find(it.subject);
    if (known == m_workers.end())
    {
        return false;
    }
    auto& worker = *known->second;
    if (it.name == "frozen")
    {
        worker.in.shut();
        worker.out.shut();
    }
    else if (it.name == "cut_in")
    {
        worker.in.shut();
    }
    else if (it.name == "cut_out")
    {
        worker.out.shut();
    }
    else if (it.name == "fail")
    {
        worker.fails_everything = true;
    }
    else if (it.name == "restart")
    {
        worker.restart();
    }
    else if (it.name == "gone")
    {
        worker.gone = true;
        worker.restart();
    }
    else if (it.name == "heal")
    {
        worker.fails_everything = false;
        worker.gone = false;
        worker.in.open();
        worker.out.open();
    }
    else
    {
        return false;
    }
    Json::Value details;
    details["fault"] = it.name;
    m_seen.add("fault", it.subject, details);
    return true;
}

} // namespace berylhill::stand_ins
