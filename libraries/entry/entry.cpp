#include <entry/entry.hpp>

#include <base/log.hpp>
#include <entry/call_api.hpp>
#include <entry/call_front.hpp>
#include <entry/configuration_keeper.hpp>
#include <entry/contract_api.hpp>
#include <entry/entry_node.hpp>
#include <entry/job_api.hpp>
#include <entry/log_followers.hpp>
#include <entry/membership_actor.hpp>
#include <entry/messages.hpp>
#include <entry/operator_api.hpp>
#include <entry/ownership_actor.hpp>
#include <entry/peer_api.hpp>
#include <rpc/server.hpp>

#include <caf/all.hpp>

#include <httplib.h>

#include <malloc.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <memory>
#include <string>
#include <thread>

namespace berylhill::entry
{

namespace
{

constexpr int s_could_not_listen = 3;
constexpr auto s_look_again = std::chrono::milliseconds{50};
/// Threads that only wait keep an arena each; a few are enough.
constexpr int s_malloc_arenas = 4;
/// CAF's own threads; the actors do not block.
constexpr std::size_t s_actor_threads = 2;

std::atomic<bool> s_signalled{false};

void take_signal(int)
{
    s_signalled = true;
}

struct http_address
{
    std::string host;
    int port{0};
};

base::result<http_address> parse(std::string const& text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string::npos)
    {
        return base::fail(base::failure_code::invalid,
                          "'" + text + "' is not IP:port");
    }
    return http_address{text.substr(0, colon),
                        std::atoi(text.c_str() + colon + 1)};
}

/// The HTTP server and the thread that accepts its connections.
class http_front
{
public:
    explicit http_front(entry_node& self)
    {
        auto const& limits = self.settings.limits;
        auto const threads = static_cast<std::size_t>(limits.http_threads);
        m_server.new_task_queue = [threads]
        {
            return new httplib::ThreadPool{threads};
        };
        m_server.set_payload_max_length(
            static_cast<std::size_t>(limits.body_bytes));
        // A caller that sends slower than this loses its connection, and the
        // thread is free again.
        m_server.set_read_timeout(
            std::chrono::duration_cast<std::chrono::milliseconds>(
                base::from_seconds(limits.request_read_s)));
        m_server.set_keep_alive_max_count(100'000);
        m_server.set_keep_alive_timeout(2);
        m_server.set_tcp_nodelay(true);
        add_call_api(m_server, self);
        add_job_api(m_server, self);
        add_contract_api(m_server, self);
        add_operator_api(m_server, self);
    }

    ~http_front()
    {
        stop();
    }
    http_front(http_front const&) = delete;
    http_front& operator=(http_front const&) = delete;

    [[nodiscard]] base::result<base::done> bind(std::string const& address)
    {
        BOOST_LEAF_AUTO(at, parse(address));
        if (!m_server.bind_to_port(at.host, at.port))
        {
            return base::fail(base::failure_code::unavailable,
                              "cannot listen at " + address);
        }
        return base::done{};
    }

    /// Precondition: `bind` has succeeded.
    void start()
    {
        m_thread = std::jthread{[this]
                                {
                                    m_server.listen_after_bind();
                                }};
    }

    /// Finishes the requests that were begun.
    void stop()
    {
        m_server.stop();
        if (m_thread.joinable())
        {
            m_thread.join();
        }
    }

private:
    httplib::Server m_server;
    std::jthread m_thread;
};

bool stop_announced(entry_node const& self)
{
    return self.configuration.is_stopping(model::endpoint_kind::entry,
                                          self.settings.instance);
}

void wait_for_stop(entry_node const& self)
{
    while (!s_signalled && !stop_announced(self))
    {
        std::this_thread::sleep_for(s_look_again);
    }
}

/// Hands the units over while callers are still served, so that none of them
/// meets a refusal; ends when the parting is in the log or the drain is over.
void hand_over(entry_node& self)
{
    base::log(base::log_level::info, "stop_begun");
    self.stopping = true;
    caf::anon_send(self.ownership, stop_atom::value);
    auto const until =
        self.clock.now() + base::from_seconds(self.settings.stop.drain_s);
    auto const stopped = [&]
    {
        return self.owned.with([](ownership::participant const& it)
                               { return it.stopped(); });
    };
    while (!stopped() && self.clock.now() < until)
    {
        std::this_thread::sleep_for(s_look_again);
    }
    base::log(base::log_level::info, "units_handed_over",
              {{"complete", stopped() ? "yes" : "no"}});
}

void leave_list(entry_node& self)
{
    auto const left =
        base::capture([&] { return self.list.remove(self.settings.instance); });
    if (!left)
    {
        base::log(base::log_level::warning, "list_not_left",
                  {{"cause", left.error().message}});
    }
}

base::result<base::done> serve(entry_node& self)
{
    peer_api methods{self};
    self.dispatch =
        [&methods](std::string const& name, Json::Value const& parameters)
    {
        return methods.run(name, parameters);
    };
    call_front calls{self};
    self.calls = &calls;
    rpc::server peers;
    for (auto const& it : methods.methods())
    {
        peers.add(it.first, it.second);
    }
    self.http_address = self.settings.listen.http;
    // All that can fail comes before the first actor, which would have to be
    // stopped again.
    http_front http{self};
    BOOST_LEAF_CHECK(http.bind(self.settings.listen.http));
    BOOST_LEAF_ASSIGN(self.peer_address,
                      peers.start(self.settings.listen.peer));
    self.membership = self.system.spawn<membership_actor>(self);
    self.ownership = self.system.spawn<ownership_actor>(self);
    follow_streams(self);
    http.start();
    base::log(base::log_level::info, "entry_started",
              {{"http", self.http_address},
               {"peer", self.peer_address},
               {"incarnation", self.incarnation}});
    wait_for_stop(self);
    hand_over(self);
    record_own_stop(self);
    http.stop();
    peers.stop();
    self.handed_over = true;
    self.writers.stop();
    caf::anon_send_exit(self.membership, caf::exit_reason::user_shutdown);
    caf::anon_send_exit(self.ownership, caf::exit_reason::user_shutdown);
    self.system.await_all_actors_done();
    self.worker_io.join();
    self.peer_io.join();
    self.call_io.join();
    leave_list(self);
    return base::done{};
}

} // namespace

int run(settings::entry_settings const& settings)
{
    mallopt(M_ARENA_MAX, s_malloc_arenas);
    base::start_log(settings.instance, settings.log.level);
    std::signal(SIGTERM, take_signal);
    std::signal(SIGINT, take_signal);
    std::signal(SIGPIPE, SIG_IGN);
    caf::actor_system_config config;
    config.set("scheduler.max-threads", s_actor_threads);
    // Work stealing looks for work all the time: an idle entry then spends
    // five times its budget of a core.
    config.set("scheduler.policy", caf::atom("sharing"));
    caf::actor_system system{config};
    entry_node self{settings, system};
    auto const ended = base::capture([&] { return serve(self); });
    if (!ended)
    {
        base::log(base::log_level::error, "entry_failed",
                  {{"cause", ended.error().message}});
        return s_could_not_listen;
    }
    base::log(base::log_level::info, "entry_stopped");
    return 0;
}

} // namespace berylhill::entry
