#pragma once

#include <stand_ins/http_host.hpp>
#include <stand_ins/worker_stand_in.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace berylhill::stand_ins
{

/// Tells the platform's list about an instance, every second.
using registrar = std::function<void(model::endpoint const&)>;

/// Workers that are alike.
struct worker_group
{
    std::string prefix{"w-"};
    std::int32_t count{8};
    std::int64_t cores{32};
    std::int64_t memory_mb{131'072};
    std::int32_t rack_size{8};
    std::string zone{"sapporo-a"};
};

struct workers_options
{
    std::vector<worker_group> groups;
    /// Usage is reported so much later.
    std::int64_t usage_lag_ms{1'000};
    double time_scale{1};
};

/// Many workers on one port, under `/workers/ID`. Faults of a worker: `frozen`,
/// `cut_in`, `cut_out`, `fail`, `restart`, `gone`, `heal`. Thread-safe.
class workers_stand_in
{
public:
    workers_stand_in(workers_options options, history& seen);
    ~workers_stand_in();
    workers_stand_in(workers_stand_in const&) = delete;
    workers_stand_in& operator=(workers_stand_in const&) = delete;

    /// Returns the port, or 0.
    int start(int port, registrar tell);

    bool apply(fault const& it);

private:
    void add_group(worker_group const& it);
    void exchange(httplib::Request const& request, httplib::Response& response);
    void run();

    workers_options m_options;
    history& m_seen;
    checkpoint_store m_checkpoints;
    std::map<std::string, std::unique_ptr<worker_stand_in>> m_workers;
    registrar m_tell;
    std::string m_address;
    std::atomic<bool> m_stopping{false};
    std::thread m_thread;
    // The last member: its threads use all of the above.
    http_host m_host;
};

} // namespace berylhill::stand_ins
