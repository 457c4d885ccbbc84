#include <entry/entry.hpp>

#include <base/log.hpp>
#include <entry/call_api.hpp>
#include <entry/call_front.hpp>
#include <entry/configuration_keeper.hpp>
#include <entry/contract_api.hpp>
#include <entry/entry_node.hpp>
#include <entry/http_front.hpp>
#include <entry/job_api.hpp>
#include <entry/log_followers.hpp>
#include <entry/membership_actor.hpp>
#include <entry/messages.hpp>
#include <entry/operator_api.hpp>
#include <entry/ownership_actor.hpp>
#include <entry/peer_api.hpp>
#include <rpc/server.hpp>

#include <caf/all.hpp>

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
/// Larger blocks are given back to the system when they are freed. Without a
/// fixed bound the first large request raises it, and the arenas keep what
/// later ones free.
constexpr int s_largest_arena_block = 128 * 1'024;
/// CAF's own threads; the actors do not block.
constexpr std::size_t s_actor_threads = 2;
/// Requests of other entries hold at most one part in this many of the memory.
constexpr std::size_t s_peer_memory_share = 4;
constexpr std::size_t s_bytes_per_mb = 1'048'576;

std::atomic<bool> s_signalled{false};

void take_signal(int)
{
    s_signalled = true;
}

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
    rpc::server peers{
        {static_cast<std::size_t>(self.settings.limits.peer_connections),
         static_cast<std::size_t>(self.settings.limits.memory_mb) *
             s_bytes_per_mb / s_peer_memory_share}};
    for (auto const& it : methods.methods())
    {
        peers.add(it.first, it.second);
    }
    self.http_address = self.settings.listen.http;
    http_router router;
    add_call_api(router, self);
    add_job_api(router, self);
    add_contract_api(router, self);
    add_operator_api(router, self);
    // All that can fail comes before the first actor, which would have to be
    // stopped again.
    http_front http{self.settings.limits, router};
    self.front = &http;
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
    mallopt(M_MMAP_THRESHOLD, s_largest_arena_block);
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
