#pragma once

#include <model/endpoint.hpp>
#include <stand_ins/http_host.hpp>
#include <stand_ins/workers_stand_in.hpp>

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace berylhill::stand_ins
{

/// Minions that are alike.
struct minion_group
{
    std::string prefix{"m-"};
    std::string service{"report-svc"};
    std::int32_t count{4};
    std::int32_t slots{8};
    std::int32_t connections{64};
    std::string zone{"sapporo-a"};
    /// Answers take between these, evenly spread: late and out of order.
    double least_ms{2};
    double most_ms{20};
};

struct minions_options
{
    std::vector<minion_group> groups;
    std::uint64_t seed{1};
};

/// One minion's state.
struct minion_state
{
    model::endpoint self;
    double least_ms{0};
    double most_ms{0};
    std::int32_t busy{0};
    double slow_ms{0};
    bool fails{false};
    bool refuses{false};
    bool crosses{false};
    bool truncates{false};
    bool leaving{false};
    /// Remote ports whose connections have gone silent.
    std::set<int> silent;
    std::set<int> seen_ports;
    /// What the next crossed answer carries.
    std::string previous_id;
    std::string previous_body;
};

/// Many minions on one port, under `/minions/ID`; answers carry the request's
/// id in the header and the body. Faults of a minion: `slow` (milliseconds),
/// `fail`, `refuse`, `crossed`, `truncated`, `silent` (the connections that
/// are open now never answer again), `leaving`, `heal`. Thread-safe.
class minions_stand_in
{
public:
    minions_stand_in(minions_options options, history& seen);
    ~minions_stand_in();
    minions_stand_in(minions_stand_in const&) = delete;
    minions_stand_in& operator=(minions_stand_in const&) = delete;

    /// Returns the port, or 0.
    int start(int port, registrar tell);

    bool apply(fault const& it);

private:
    void serve(httplib::Request const& request, httplib::Response& response);
    /// Waits while the request's connection is silent; whether it was.
    bool hold_silent(minion_state& it, int port);
    bool begin(minion_state& it,
               httplib::Request const& request,
               httplib::Response& response);
    void finish(minion_state& it,
                httplib::Request const& request,
                httplib::Response& response);
    bool set_fault(minion_state& minion, fault const& it);
    void run();

    minions_options m_options;
    history& m_seen;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, minion_state> m_minions;
    std::mt19937_64 m_random;
    registrar m_tell;
    std::string m_address;
    bool m_stopping{false};
    std::thread m_thread;
    // The last member: its threads use all of the above.
    http_host m_host;
};

} // namespace berylhill::stand_ins
